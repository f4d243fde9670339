package loadbalancer.limits;

/**
 * Moves the limit by the ratio of base to present latency, plus the square root of the limit as room for bursts, as in
 * Envoy's adaptive concurrency filter and the gradient limit of Netflix' concurrency-limits. Both grow with the limit,
 * so a large pool moves as fast as a small one.
 */
final class GradientLimit extends LatencyLimit {
    /** Latency above the base, by this factor, does not count as queueing yet. */
    private static final double LATENCY_TOLERANCE = 1.25;

    private static final double MIN_GRADIENT = 0.5;
    private static final double SMOOTHING = 0.5;
    private static final double DROP_FACTOR = 0.9;

    GradientLimit(ConcurrencyLimitConfig config) {
        super(config);
    }

    @Override
    double next(double current, BaseLatencyEstimator window, boolean used) {
        double ratio = LATENCY_TOLERANCE * window.baseMicros() / Math.max(1, window.meanMicros());
        double gradient = Math.max(MIN_GRADIENT, Math.min(1, ratio));
        double target = gradient * current + Math.sqrt(current);
        if (window.dropped()) {
            target = Math.min(target, current * DROP_FACTOR);
        }
        return target < current || used ? current + SMOOTHING * (target - current) : current;
    }
}
