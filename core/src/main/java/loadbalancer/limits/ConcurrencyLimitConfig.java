package loadbalancer.limits;

/**
 * A concurrency limit as an operator asks for it. All numbers are requests and at least 1, except that a fixed limit
 * may be 0.
 *
 * @param initial where the limit begins; for a fixed one, where it stays
 * @param min the limit never falls below this
 * @param max the limit never rises above this
 */
public record ConcurrencyLimitConfig(LimitAlgorithm algorithm, int initial, int min, int max) {
    /** Throws IllegalArgumentException for bounds that no limit can keep. */
    public ConcurrencyLimitConfig {
        boolean ordered = min >= 1 && initial >= min && max >= initial;
        if (algorithm == LimitAlgorithm.FIXED ? initial < 0 : !ordered) {
            throw new IllegalArgumentException(
                    "impossible limit: from " + min + " to " + max + ", at first " + initial);
        }
    }

    /** A limit that never changes. */
    public static ConcurrencyLimitConfig fixed(int limit) {
        return new ConcurrencyLimitConfig(LimitAlgorithm.FIXED, limit, limit, limit);
    }

    /** Makes a new limit, which knows of no request yet. */
    public ConcurrencyLimit create() {
        return switch (algorithm) {
            case FIXED -> new FixedLimit(initial);
            case AIMD -> new AimdLimit(this);
            case VEGAS -> new VegasLimit(this);
            case GRADIENT -> new GradientLimit(this);
        };
    }

    /** The nearest value that the bounds allow. */
    double clamp(double limit) {
        return Math.max(min, Math.min(max, limit));
    }
}
