package loadbalancer.policy;

import java.util.Set;

/**
 * A class of requests: an answer within {@code latencyObjectiveMicros} earns {@code priorityWeight}, one before
 * {@code deadline} the
 * {@code lateFraction} of it. {@code objectiveStretch} lengthens the aim by that multiple of the request's work.
 * {@code orderedDelivery}: requests with one key run one at a time, in the order taken. {@code zones} and
 * {@code machineKinds} are the only ones whose servers may be sent to; empty: all.
 */
public record RequestClass(
        Idempotency effect,
        KeyScope scope,
        long keyRetentionMicros,
        long latencyObjectiveMicros,
        long deadline,
        double objectiveStretch,
        double priorityWeight,
        double lateFraction,
        boolean streamed,
        boolean orderedDelivery,
        Set<Integer> zones,
        Set<Integer> machineKinds) {
    public RequestClass {
        zones = Set.copyOf(zones);
        machineKinds = Set.copyOf(machineKinds);
        Requirements.require(latencyObjectiveMicros > 0, "aim", latencyObjectiveMicros);
        Requirements.require(deadline > 0, "deadline", deadline);
        Requirements.require(keyRetentionMicros >= 0, "keyMemory", keyRetentionMicros);
        Requirements.require(objectiveStretch >= 0, "aimStretch", objectiveStretch);
    }

    /** A class without order or placement. */
    public RequestClass(
            Idempotency effect,
            KeyScope scope,
            long keyRetentionMicros,
            long latencyObjectiveMicros,
            long deadline,
            double objectiveStretch,
            double priorityWeight,
            double lateFraction,
            boolean streamed) {
        this(
                effect,
                scope,
                keyRetentionMicros,
                latencyObjectiveMicros,
                deadline,
                objectiveStretch,
                priorityWeight,
                lateFraction,
                streamed,
                false,
                Set.of(),
                Set.of());
    }
}
