package loadbalancer.limits;

/**
 * Keeps the number of queued requests between two small bounds, as TCP Vegas (Brakmo and Peterson, 1995) and Netflix's
 * concurrency-limits do. The queue is estimated as the limit times the fraction of the latency that exceeds the base.
 * The bounds grow only with the logarithm of the limit, so at a large pool the noise of the mean latency alone exceeds
 * them.
 */
final class VegasLimit extends LatencyLimit {
    /** The limit rises if fewer requests are queued than this times the step. */
    private static final double ALPHA = 3;
    /** The limit falls if more requests are queued than this times the step. */
    private static final double BETA = 6;

    VegasLimit(ConcurrencyLimitConfig config) {
        super(config);
    }

    @Override
    double next(double current, BaseLatencyEstimator window, boolean used) {
        double step = Math.max(1, Math.log10(current));
        double queued = current * (1 - window.baseMicros() / Math.max(1, window.meanMicros()));
        if (window.dropped() || queued > BETA * step) {
            return current - step;
        }
        return queued < ALPHA * step && used ? current + step : current;
    }
}
