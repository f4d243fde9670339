package loadbalancer.policy;

/** The figures of the rules; {@code keySequencePauseMicros}: a key's rest after an attempt that may still run. */
public record SafetyBounds(
        long responseSlackMicros,
        long drainGracePeriodMicros,
        long pollIntervalMicros,
        double slowStartInitialWeight,
        long slowStartDurationMicros,
        double overloadFactor,
        long overloadWindowMicros,
        long keySequencePauseMicros) {
    public SafetyBounds {
        Requirements.require(keySequencePauseMicros >= 0, "orderPause", keySequencePauseMicros);
        Requirements.require(
                slowStartInitialWeight > 0 && slowStartInitialWeight <= 1, "coldFrom", slowStartInitialWeight);
        Requirements.require(slowStartDurationMicros >= 0, "rampTime", slowStartDurationMicros);
        Requirements.require(overloadFactor > 0, "overloadFactor", overloadFactor);
        Requirements.require(overloadWindowMicros >= 0, "fallWindow", overloadWindowMicros);
    }
}
