package loadbalancer.policy;

import java.util.List;

/**
 * Makes the decisions of one balancer. The balancer reports events by calling the methods below, and the policy
 * requests {@link Actions} in return. The balancer carries the actions out and decides nothing itself.
 *
 * <p>All times and durations are microseconds in a {@code long}; {@code now} is the caller's clock and never goes back.
 * Ids are opaque. An instance serves one balancer and is not thread-safe: events are delivered one at a time, in the
 * order in which they happened, and each call returns before the next one. Actions are carried out in the order in
 * which they are requested, at the time {@code now}.
 *
 * <p>A new or restarted balancer uses a new instance, and its first event is {@link #endpoints} with {@link
 * EndpointListKind#CACHED}. Events about requests, attempts or endpoints that the policy no longer knows are legal and
 * ignored.
 */
public interface LoadBalancingPolicy {

    /** An endpoint list has arrived; {@code endpoints} is empty for {@link EndpointListKind#UNAVAILABLE}. */
    void endpoints(long now, EndpointListKind kind, List<Endpoint> endpoints, Actions actions);

    /**
     * A request has arrived. It must get exactly one final answer within {@code timeLeftMicros}.
     *
     * @param requestClass index of its class in the settings
     * @param tenant index of its tenant in the settings, 0 if there are none
     * @param key what the request concerns, or null
     * @param work the client's estimate of the work, or -1
     * @param clientRetry whether the client says that it has sent this request before
     */
    void request(
            long now,
            String request,
            int requestClass,
            int tenant,
            String key,
            long timeLeftMicros,
            long work,
            boolean clientRetry,
            Actions actions);

    /**
     * An attempt has ended. Each attempt that was sent ends exactly once.
     *
     * @param attempt number of the attempt; a request's attempts are numbered from 0 in the order in which they were
     *      sent
     * @param latencyMicros time since the attempt was sent
     * @param closed whether the request has had its final answer (the caller passes an OK to the client)
     * @param load null if no load report came with the outcome
     */
    void outcome(
            long now,
            String request,
            int attempt,
            AttemptOutcome outcome,
            long latencyMicros,
            boolean closed,
            LoadReport load,
            Actions actions);

    /** A streamed response has begun. The client receives it from this attempt, whose timeouts no longer apply. */
    void streamStarted(long now, String request, int attempt, Actions actions);

    /** The client has disconnected and needs no answer any more. */
    void clientGone(long now, String request, Actions actions);

    /** A probe has ended. */
    void probed(
            long now, String endpoint, AttemptOutcome outcome, long latencyMicros, LoadReport load, Actions actions);

    /** The time requested with {@link Actions#wakeAfter} has come. */
    void wake(long now, Actions actions);

    /** A message from another balancer has arrived. The default implementation ignores it. */
    default void peerMessage(long now, int from, byte[] data, Actions actions) {}

    /**
     * Applies new settings to requests that arrive from now on. Learned state is kept.
     *
     * @param formerClasses for each class of the new settings, its index in the former settings, or -1
     * @param formerTenants the same for tenants
     */
    default void reconfigure(long now, PolicySettings settings, int[] formerClasses, int[] formerTenants) {}

    /** Returns what the policy has learned, for the policy of a successor process. */
    default LearnedState learnedState(long now) {
        return LearnedState.NONE;
    }

    /** Restores what the policy of a predecessor process has learned; parts that don't fit are ignored. */
    default void restore(long now, LearnedState learnedState) {}

    /**
     * Sets the factor on the number of requests that this policy may send to endpoints in slow start; 1 stands for what
     * one balancer may send. It is below 1 while another process of the same balancer uses the rest, and above 1 where
     * only a subset of the balancers uses each endpoint.
     */
    default void setSlowStartBudgetFactor(double factor) {}

    /** Actions that a policy may request; the caller implements them. */
    interface Actions {
        /** Sends an attempt; a {@code timeoutMicros} of 0 means until the request's deadline. */
        void send(String request, String endpoint, long timeoutMicros);

        /**
         * Sends an attempt that is permitted for {@code permittedMicros} only: if its last byte has not been written to
         * the endpoint by then, whatever it waited for, it is not sent, and ends with an outcome that says so. By
         * default this ignores the limit.
         */
        default void send(String request, String endpoint, long timeoutMicros, long permittedMicros) {
            send(request, endpoint, timeoutMicros);
        }

        /**
         * Final answer: the request is rejected, and a retry by the client is harmless. A {@code retryAfterMicros} of 0
         * gives no advice.
         */
        void reject(String request, long retryAfterMicros);

        /** Final answer: the request has failed and may have been executed. */
        void fail(String request);

        /** Stops waiting for an attempt. */
        void cancel(String request, int attempt);

        /** Asks an endpoint for its load. */
        void probe(String endpoint);

        /** Subscribes to changes of the endpoint list from now on, or ends the subscription. */
        void watch(boolean on);

        /** Fetches the complete endpoint list once. */
        void fetchList();

        /** Closes the idle connections to an endpoint. */
        void closeIdle(String endpoint);

        /** Sends at most 256 bytes to the balancer with that number, or to all if {@code peer} is -1. */
        void sendToPeer(int peer, byte[] data);

        /** Calls {@link LoadBalancingPolicy#wake} once after the delay. */
        void wakeAfter(long delayMicros);

        /** Writes a line to the operators' log. */
        void log(String line);
    }
}
