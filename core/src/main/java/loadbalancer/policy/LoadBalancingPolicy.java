package loadbalancer.policy;

import java.util.List;

/**
 * The interface of the decisions of one balancer: the events that the balancer reports (the methods below), and what
 * the policy may ask for in return ({@link Actions}). The balancer carries actions out and decides nothing.
 *
 * <p>All times and durations are microseconds in a {@code long}; {@code now} is the caller's clock and never goes back.
 * Ids are opaque. One object serves one balancer and is not thread-safe: events are handed over one at a time, in the
 * order in which they happened, and each returns before the next. Actions are carried out in the order in which they
 * are asked for, at the time {@code now}.
 *
 * <p>A new or restarted balancer is a new object, and its first event is {@link #endpoints} with {@link
 * EndpointListKind#CACHED}. Events about requests, attempts or endpoints that the policy no longer knows are legal and
 * ignored.
 */
public interface LoadBalancingPolicy {

    /** A list of endpoints has come; {@code endpoints} is empty for {@link EndpointListKind#UNAVAILABLE}. */
    void endpoints(long now, EndpointListKind kind, List<Endpoint> endpoints, Actions actions);

    /**
     * A request has come in and is owed one final answer before {@code timeLeftMicros} is over.
     *
     * @param requestClass index of its class in the settings
     * @param tenant index of its tenant in the settings, 0 where there are none
     * @param key what the request concerns, or null
     * @param work the client's estimate of the work, or -1
     * @param clientRetry the client says that it has tried before
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
     * An attempt has ended; each attempt that was sent ends once.
     *
     * @param attempt the request's attempts are numbered 0, 1, 2 ... in the order in which they were sent
     * @param latencyMicros time since it was sent
     * @param closed the request has had its final answer (the caller passes an OK to the client)
     * @param load null where no report came with it
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

    /** A streamed answer has begun: the attempt belongs to the client, its time-outs no longer hold. */
    void streamStarted(long now, String request, int attempt, Actions actions);

    /** The client has left: it is owed nothing more. */
    void clientGone(long now, String request, Actions actions);

    /** A probe has come back. */
    void probed(
            long now, String endpoint, AttemptOutcome outcome, long latencyMicros, LoadReport load, Actions actions);

    /** The time asked for with {@link Actions#wakeAfter} has come. */
    void wake(long now, Actions actions);

    /** A message from another balancer has come. The default ignores it. */
    default void peerMessage(long now, int from, byte[] data, Actions actions) {}

    /**
     * Applies new settings to requests that come from here on. What has been learned stays.
     *
     * @param formerClasses for each class of the new settings its index in the former ones, or -1
     * @param formerTenants the same for tenants
     */
    default void reconfigure(long now, PolicySettings settings, int[] formerClasses, int[] formerTenants) {}

    /** What has been learned, for the policy of a successor process to go on from. */
    default LearnedState learnedState(long now) {
        return LearnedState.NONE;
    }

    /** Goes on from what the policy of a predecessor process has learned; what doesn't fit is ignored. */
    default void restore(long now, LearnedState learnedState) {}

    /**
     * Sets the factor on the number of requests that this policy may send to endpoints in slow start; 1 stands for what
     * one balancer may send. It is below 1 while another process of the same balancer uses the rest, and above 1 where
     * only a subset of the balancers uses each endpoint.
     */
    default void setSlowStartBudgetFactor(double factor) {}

    /** What a policy may ask for; the caller implements it. */
    interface Actions {
        /** Send an attempt; a {@code timeoutMicros} of 0 means until the request's deadline. */
        void send(String request, String endpoint, long timeoutMicros);

        /** Final answer: rejected, a retry by the client is harmless; {@code retryAfterMicros} 0 gives no advice. */
        void reject(String request, long retryAfterMicros);

        /** Final answer: failed, the request may have been executed. */
        void fail(String request);

        /** Stop waiting for an attempt. */
        void cancel(String request, int attempt);

        /** Ask an endpoint for its load. */
        void probe(String endpoint);

        /** Subscribe to changes of the list from here on, or end the subscription. */
        void watch(boolean on);

        /** Fetch the complete list once. */
        void fetchList();

        /** Close the idle connections to an endpoint. */
        void closeIdle(String endpoint);

        /** Send at most 256 bytes to the balancer of that number, or to all where {@code peer} is -1. */
        void sendToPeer(int peer, byte[] data);

        /** Call {@link LoadBalancingPolicy#wake} once after that time. */
        void wakeAfter(long delayMicros);

        /** Write a line to the log of the operators. */
        void log(String line);
    }
}
