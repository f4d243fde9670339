package loadbalancer.limits;

/**
 * Configuration of a concurrency limit. All numbers are requests and at least 1, except that a fixed limit may be 0.
 *
 * @param initial the limit at the start; a fixed limit keeps this value
 * @param min the limit never falls below this
 * @param max the limit never rises above this
 */
public record ConcurrencyLimitConfig(LimitAlgorithm algorithm, int initial, int min, int max) {
    /** Throws IllegalArgumentException if the bounds are out of order or out of range. */
    public ConcurrencyLimitConfig {
        boolean ordered = min >= 1 && initial >= min && max >= initial;
        if (algorithm == LimitAlgorithm.FIXED ? initial < 0 : !ordered) {
            throw new IllegalArgumentException("concurrency limit has min " + min + ", max " + max + ", initial "
                    + initial + ": expected 1 <= min <= initial <= max, or a fixed limit of 0 or more");
        }
    }

    /** Returns the configuration of a limit that never changes. */
    public static ConcurrencyLimitConfig fixed(int limit) {
        return new ConcurrencyLimitConfig(LimitAlgorithm.FIXED, limit, limit, limit);
    }

    /** Creates a limit in its initial state. */
    public ConcurrencyLimit create() {
        return switch (algorithm) {
            case FIXED -> new FixedLimit(initial);
            case AIMD -> new AimdLimit(this);
            case VEGAS -> new VegasLimit(this);
            case GRADIENT -> new GradientLimit(this);
        };
    }

    /** Returns the value within the bounds that is nearest to {@code limit}. */
    double clamp(double limit) {
        return Math.max(min, Math.min(max, limit));
    }
}
