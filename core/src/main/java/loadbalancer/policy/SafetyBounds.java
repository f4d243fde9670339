package loadbalancer.policy;

/** The figures of the rules; {@code orderPause}: a key's rest after an attempt that may still run. */
public record SafetyBounds(
        long answerSlack,
        long drainGrace,
        long askWithin,
        double coldFrom,
        long rampTime,
        double overloadFactor,
        long fallWindow,
        long orderPause) {
    public SafetyBounds {
        Requirements.require(orderPause >= 0, "orderPause", orderPause);
        Requirements.require(coldFrom > 0 && coldFrom <= 1, "coldFrom", coldFrom);
        Requirements.require(rampTime >= 0, "rampTime", rampTime);
        Requirements.require(overloadFactor > 0, "overloadFactor", overloadFactor);
        Requirements.require(fallWindow >= 0, "fallWindow", fallWindow);
    }
}
