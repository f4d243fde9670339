package loadbalancer.policy;

import java.util.Set;

/**
 * A class of requests: an answer within {@code aim} earns {@code worth}, one before {@code deadline} the
 * {@code lateShare} of it. {@code aimStretch} lengthens the aim by that multiple of the request's work.
 * {@code inOrder}: requests with one key run one at a time, in the order taken. {@code zones} and
 * {@code machineKinds} are the only ones whose servers may be sent to; empty: all.
 */
public record RequestClass(
        Idempotency effect,
        KeyScope scope,
        long keyMemory,
        long aim,
        long deadline,
        double aimStretch,
        double worth,
        double lateShare,
        boolean streamed,
        boolean inOrder,
        Set<Integer> zones,
        Set<Integer> machineKinds) {
    public RequestClass {
        zones = Set.copyOf(zones);
        machineKinds = Set.copyOf(machineKinds);
        Requirements.require(aim > 0, "aim", aim);
        Requirements.require(deadline > 0, "deadline", deadline);
        Requirements.require(keyMemory >= 0, "keyMemory", keyMemory);
        Requirements.require(aimStretch >= 0, "aimStretch", aimStretch);
    }

    /** A class without order or placement. */
    public RequestClass(
            Idempotency effect,
            KeyScope scope,
            long keyMemory,
            long aim,
            long deadline,
            double aimStretch,
            double worth,
            double lateShare,
            boolean streamed) {
        this(
                effect,
                scope,
                keyMemory,
                aim,
                deadline,
                aimStretch,
                worth,
                lateShare,
                streamed,
                false,
                Set.of(),
                Set.of());
    }
}
