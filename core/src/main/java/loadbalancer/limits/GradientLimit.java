package loadbalancer.limits;

/**
 * Multiplies the limit by the ratio of base latency to current latency and adds its square root as room for bursts, as
 * Envoy's adaptive concurrency filter and the gradient limit of Netflix's concurrency-limits do. Both terms grow with
 * the limit, so the limit of a large pool adapts as fast as that of a small one.
 */
final class GradientLimit extends LatencyLimit {
    /** Latency up to the base latency times this factor does not count as queueing. */
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
