package loadbalancer.policy;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The state that a policy has learned from traffic, from which the policy of a successor process continues. A part that
 * the predecessor did not hand over, or whose form does not match, is null. The arrays must not be modified.
 *
 * @param firstAttemptMicros by class: the longest time that a client allowed for a first attempt
 * @param endpoints endpoint histories by endpoint id
 * @param pools by pool name, the learned state of each pool's policy; empty for the policy of one pool
 */
public record LearnedState(
        Latencies latencies,
        double[] firstAttemptMicros,
        Admission admission,
        Tenants tenants,
        Traffic traffic,
        Map<String, EndpointHistory> endpoints,
        Map<String, LearnedState> pools) {
    /** An empty state. */
    public static final LearnedState NONE = ofPools(Map.of());

    /** Copies the maps and keeps their order. */
    public LearnedState {
        endpoints = Collections.unmodifiableMap(new LinkedHashMap<>(endpoints));
        pools = Collections.unmodifiableMap(new LinkedHashMap<>(pools));
    }

    /** The learned state of several pools, by pool name. */
    public static LearnedState ofPools(Map<String, LearnedState> pools) {
        return new LearnedState(new Latencies(null, null), null, null, new Tenants(null, null), null, Map.of(), pools);
    }

    /** Returns a copy of the learned values, or the current ones if the learned are null or of another length. */
    static double[] copyIfSameLength(double[] learned, double[] current) {
        return learned != null && learned.length == current.length ? learned.clone() : current;
    }

    /**
     * State of {@link LatencyTracker}, by class.
     *
     * @param expectedMicros expected latency
     * @param meanWork mean of the clients' hints of the work, 0 if there were none
     */
    public record Latencies(double[] expectedMicros, double[] meanWork) {}

    /**
     * State of {@link AdmissionController}.
     *
     * @param arrivals decayed number of arrivals by priority tier
     * @param completed decayed number of completed requests
     * @param scored decayed number of attempts with a score
     * @param scoreSum decayed sum of the scores
     * @param lowTierLevel shed level of the tiers of low weight
     * @param level shed level
     */
    public record Admission(
            double[] arrivals, double completed, double scored, double scoreSum, double lowTierLevel, double level) {}

    /**
     * State of {@link TenantQuotas}, by tenant.
     *
     * @param demand decayed number of requests that clients sent for the first time
     * @param quotaTokens fill of the token bucket
     */
    public record Tenants(double[] demand, double[] quotaTokens) {}

    /**
     * Statistics of all requests of the balancer.
     *
     * @param arrivals decayed number of requests that clients sent for the first time
     * @param rejectedAttempts decayed number of attempts that were never executed
     * @param retryTokens tokens in the retry budget
     * @param meanAttemptsInFlight moving mean of the attempts in flight
     */
    public record Traffic(double arrivals, double rejectedAttempts, double retryTokens, double meanAttemptsInFlight) {}

    /**
     * Statistics of one start of an endpoint. Times other than the start are relative, and counts are decayed.
     *
     * @param startedAt start time of the endpoint; the history is not valid for another start
     * @param slowness moving mean of latency divided by expected latency
     * @param ejectionMicros remaining time of the ejection, or 0
     * @param probationSuccessesLeft successes still needed to end probation
     * @param microsSinceSuccess time since the last success
     * @param awaitsFirstRequest whether the endpoint is still to be sent a first request regardless of its rank
     */
    public record EndpointHistory(
            long startedAt,
            double accomplishment,
            double successCount,
            double failureCount,
            double slowness,
            long ejectionMicros,
            int ejectionCount,
            int probationSuccessesLeft,
            double slowStartTokens,
            long microsSinceSuccess,
            boolean awaitsFirstRequest) {

        static EndpointHistory of(EndpointStats stats, long now, DecayScale scale) {
            return new EndpointHistory(
                    stats.endpoint.startedAt(),
                    stats.accomplishment / scale.unit(),
                    stats.successCount / scale.unit(),
                    stats.failureCount / scale.unit(),
                    QueueLengthEstimator.slowness(stats, now),
                    Math.max(0, stats.ejectedUntil - now),
                    stats.ejectionCount,
                    stats.probationSuccessesLeft,
                    stats.slowStartTokens,
                    now - stats.lastSuccessAt,
                    stats.firstRequestDueAt < Long.MAX_VALUE);
        }

        /** Copies the history into the statistics, unless the endpoint has restarted in between. */
        void applyTo(EndpointStats stats, long now, DecayScale scale) {
            if (startedAt != stats.endpoint.startedAt()) {
                return;
            }
            stats.accomplishment = accomplishment * scale.unit();
            stats.successCount = successCount * scale.unit();
            stats.failureCount = failureCount * scale.unit();
            stats.slowness = slowness;
            stats.slownessAt = now;
            stats.ejectedUntil = ejectionMicros > 0 ? now + ejectionMicros : 0;
            stats.ejectionCount = ejectionCount;
            stats.probationSuccessesLeft = probationSuccessesLeft;
            stats.slowStartTokens = slowStartTokens;
            stats.slowStartTokensAt = now;
            stats.lastSuccessAt = now - microsSinceSuccess;
            stats.firstRequestDueAt = awaitsFirstRequest ? stats.firstRequestDueAt : Long.MAX_VALUE;
        }
    }
}
