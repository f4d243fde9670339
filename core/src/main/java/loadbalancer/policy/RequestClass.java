package loadbalancer.policy;

import java.util.Set;

/**
 * Settings of a class of requests.
 *
 * @param idempotency whether a request may be sent again after an attempt that may have been executed
 * @param scope the endpoints that recognize an idempotency key
 * @param keyRetentionMicros how long endpoints recognize an idempotency key
 * @param latencyObjectiveMicros time within which an answer counts with the full priority weight
 * @param deadlineMicros time within which an answer after the latency objective counts with the late fraction of the
 *     priority weight
 * @param objectiveStretch factor of the client's estimate of the work; the product is added to the latency objective of
 *     a request
 * @param priorityWeight value of an answer within the latency objective, compared with other classes
 * @param lateFraction fraction of the priority weight that a late answer earns
 * @param streamed whether answers are streams, which are not ended by a timeout
 * @param orderedDelivery whether requests with the same key are executed one at a time, in the order of arrival
 * @param zones the only zones whose endpoints may be used; empty for all
 * @param machineKinds the only kinds of machine that may be used; empty for all
 */
public record RequestClass(
        Idempotency idempotency,
        KeyScope scope,
        long keyRetentionMicros,
        long latencyObjectiveMicros,
        long deadlineMicros,
        double objectiveStretch,
        double priorityWeight,
        double lateFraction,
        boolean streamed,
        boolean orderedDelivery,
        Set<Integer> zones,
        Set<Integer> machineKinds) {
    /**
     * Copies the sets.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public RequestClass {
        zones = Set.copyOf(zones);
        machineKinds = Set.copyOf(machineKinds);
        Requirements.require(latencyObjectiveMicros > 0, "aim", latencyObjectiveMicros);
        Requirements.require(deadlineMicros > 0, "deadline", deadlineMicros);
        Requirements.require(keyRetentionMicros >= 0, "keyMemory", keyRetentionMicros);
        Requirements.require(objectiveStretch >= 0, "aimStretch", objectiveStretch);
    }

    /** Creates a class without ordered delivery or placement rules. */
    public RequestClass(
            Idempotency idempotency,
            KeyScope scope,
            long keyRetentionMicros,
            long latencyObjectiveMicros,
            long deadlineMicros,
            double objectiveStretch,
            double priorityWeight,
            double lateFraction,
            boolean streamed) {
        this(
                idempotency,
                scope,
                keyRetentionMicros,
                latencyObjectiveMicros,
                deadlineMicros,
                objectiveStretch,
                priorityWeight,
                lateFraction,
                streamed,
                false,
                Set.of(),
                Set.of());
    }
}
