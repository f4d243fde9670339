package loadbalancer.policy;

import java.util.Set;

/**
 * A class of requests.
 *
 * @param idempotency whether a request may be executed twice
 * @param scope the endpoints that recognize an idempotency key
 * @param keyRetentionMicros how long they do
 * @param latencyObjectiveMicros an answer within it earns the priority weight
 * @param deadlineMicros an answer within it earns the late fraction of the priority weight
 * @param objectiveStretch multiple of a request's work that is added to its latency objective
 * @param priorityWeight what an answer in time earns, compared with other classes
 * @param streamed whether answers are streams, which are not cut off
 * @param orderedDelivery whether requests with one key are executed one at a time, in the order of arrival
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
     * @throws IllegalArgumentException for figures that no class can have
     */
    public RequestClass {
        zones = Set.copyOf(zones);
        machineKinds = Set.copyOf(machineKinds);
        Requirements.require(latencyObjectiveMicros > 0, "aim", latencyObjectiveMicros);
        Requirements.require(deadlineMicros > 0, "deadline", deadlineMicros);
        Requirements.require(keyRetentionMicros >= 0, "keyMemory", keyRetentionMicros);
        Requirements.require(objectiveStretch >= 0, "aimStretch", objectiveStretch);
    }

    /** A class without order or placement. */
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
