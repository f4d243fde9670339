package loadbalancer.policy;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a policy has learned, for the policy of a successor process to go on from. A part that a predecessor did not
 * hand over, or not in a form that fits, is null. Arrays are not to be changed.
 *
 * @param firstAttemptMicros by class: the longest time that a first attempt had
 * @param endpoints by id
 * @param pools by name, what the policies of several pools have learned; empty for the policy of one pool
 */
public record LearnedState(
        Latencies latencies,
        double[] firstAttemptMicros,
        Admission admission,
        Tenants tenants,
        Traffic traffic,
        Map<String, EndpointHistory> endpoints,
        Map<String, LearnedState> pools) {
    /** Nothing that has been learned. */
    public static final LearnedState NONE = ofPools(Map.of());

    /** Copies the maps, in their order. */
    public LearnedState {
        endpoints = Collections.unmodifiableMap(new LinkedHashMap<>(endpoints));
        pools = Collections.unmodifiableMap(new LinkedHashMap<>(pools));
    }

    /** What the policies of several pools have learned, by name of the pool. */
    public static LearnedState ofPools(Map<String, LearnedState> pools) {
        return new LearnedState(new Latencies(null, null), null, null, new Tenants(null, null), null, Map.of(), pools);
    }

    /** A copy of the learned figures, or the present ones where the learned are null or of another number. */
    static double[] copyIfSameLength(double[] learned, double[] present) {
        return learned != null && learned.length == present.length ? learned.clone() : present;
    }

    /**
     * Statistics of {@link LatencyTracker}, by class.
     *
     * @param meanWork mean hint of the work, 0 where there was none
     */
    public record Latencies(double[] expectedMicros, double[] meanWork) {}

    /**
     * Statistics of {@link AdmissionController}.
     *
     * @param arrivals by priority tier, decayed
     * @param completed decayed number of requests
     * @param scored decayed number of attempts with a score
     * @param scoreSum decayed sum of their scores
     * @param lowTierLevel shed level of the tiers of low weight
     * @param level shed level
     */
    public record Admission(
            double[] arrivals, double completed, double scored, double scoreSum, double lowTierLevel, double level) {}

    /**
     * Statistics of {@link TenantQuotas}, by tenant.
     *
     * @param demand decayed number of requests
     * @param quotaTokens requests that are within the quota at once
     */
    public record Tenants(double[] demand, double[] quotaTokens) {}

    /**
     * Statistics of all requests of the balancer.
     *
     * @param arrivals decayed number of requests
     * @param rejectedAttempts decayed number of attempts that endpoints did not take
     * @param retryTokens what the retry budget holds
     */
    public record Traffic(double arrivals, double rejectedAttempts, double retryTokens, double meanAttemptsInFlight) {}

    /**
     * What is known of one start of an endpoint: times are relative, counts decayed.
     *
     * @param startedAt the start that this is about; not valid for another one
     * @param ejectionMicros what is left of an ejection, or 0
     * @param microsSinceSuccess time since the last success
     * @param awaitsFirstRequest whether the endpoint is due for a request whatever its rank
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

        /** Writes the history into the statistics, if it is about the same start of the endpoint. */
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
