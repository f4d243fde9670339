package loadbalancer.limits;

/**
 * Holds the number of requests that wait between two small bounds, as TCP Vegas (Brakmo and Peterson, 1995) and
 * Netflix' concurrency-limits do. What waits is the limit times the part of the latency that is above the base. The
 * bounds grow with the logarithm of the limit, so at a large pool the noise of the mean latency alone exceeds them.
 */
final class VegasLimit extends LatencyLimit {
    /** Fewer requests wait than this, times the step: the limit rises. */
    private static final double ALPHA = 3;
    /** More requests wait than this, times the step: the limit falls. */
    private static final double BETA = 6;

    VegasLimit(ConcurrencyLimitConfig config) {
        super(config);
    }

    @Override
    double next(double current, BaseLatencyEstimator window, boolean used) {
        double step = Math.max(1, Math.log10(current));
        double waiting = current * (1 - window.baseMicros() / Math.max(1, window.meanMicros()));
        if (window.dropped() || waiting > BETA * step) {
            return current - step;
        }
        return waiting < ALPHA * step && used ? current + step : current;
    }
}
