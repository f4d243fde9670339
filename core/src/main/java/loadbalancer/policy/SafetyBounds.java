package loadbalancer.policy;

/**
 * Figures of the site's rules.
 *
 * @param responseSlackMicros how late after the deadline an answer may be
 * @param drainGracePeriodMicros how long a draining endpoint finishes its work
 * @param pollIntervalMicros longest time between two polls of discovery
 * @param slowStartInitialWeight weight of an endpoint that has just started, above 0 and at most 1
 * @param slowStartDurationMicros time from the start until the weight is 1
 * @param overloadFactor multiple of its weighted capacity that overloads an endpoint in slow start
 * @param overloadWindowMicros time over which that is taken
 * @param keySequencePauseMicros pause of a key after an attempt that may still run
 */
public record SafetyBounds(
        long responseSlackMicros,
        long drainGracePeriodMicros,
        long pollIntervalMicros,
        double slowStartInitialWeight,
        long slowStartDurationMicros,
        double overloadFactor,
        long overloadWindowMicros,
        long keySequencePauseMicros) {
    /**
     * Checks the figures.
     *
     * @throws IllegalArgumentException for figures that no site can have
     */
    public SafetyBounds {
        Requirements.require(keySequencePauseMicros >= 0, "orderPause", keySequencePauseMicros);
        Requirements.require(
                slowStartInitialWeight > 0 && slowStartInitialWeight <= 1, "coldFrom", slowStartInitialWeight);
        Requirements.require(slowStartDurationMicros >= 0, "rampTime", slowStartDurationMicros);
        Requirements.require(overloadFactor > 0, "overloadFactor", overloadFactor);
        Requirements.require(overloadWindowMicros >= 0, "fallWindow", overloadWindowMicros);
    }
}
