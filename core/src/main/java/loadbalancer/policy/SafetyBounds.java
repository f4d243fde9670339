package loadbalancer.policy;

/**
 * Limits that the site's rules set for a balancer.
 *
 * @param responseSlackMicros how long after the deadline a response is still in time
 * @param drainGracePeriodMicros how long a draining endpoint may go on with the requests that it has
 * @param pollIntervalMicros longest time between two polls of discovery
 * @param slowStartInitialWeight weight of an endpoint that has just started, above 0 and at most 1
 * @param slowStartDurationMicros time from the start of an endpoint until its weight is 1
 * @param overloadFactor an endpoint in slow start is overloaded by this multiple of its weighted capacity
 * @param overloadWindowMicros length of the window in which the load of such an endpoint is measured
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
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of its range
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
