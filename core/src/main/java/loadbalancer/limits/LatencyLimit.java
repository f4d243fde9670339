package loadbalancer.limits;

/**
 * A limit that compares the current latency with the base latency in each window, and that is lowered while the base is
 * probed. Subclasses define how the limit changes at the end of a window.
 */
abstract class LatencyLimit implements ConcurrencyLimit {
    /** The limit counts as used if the requests in flight, multiplied by this, reach it. */
    private static final double USED_FACTOR = 2.0;

    private final ConcurrencyLimitConfig config;
    private final BaseLatencyEstimator latency = new BaseLatencyEstimator();
    private double limit;

    LatencyLimit(ConcurrencyLimitConfig config) {
        this.config = config;
        this.limit = config.initial();
    }

    @Override
    public final int limit() {
        double allowed = latency.isProbing() ? limit * BaseLatencyEstimator.PROBE_FACTOR : limit;
        return (int) Math.max(config.min(), allowed);
    }

    @Override
    public final void ended(long nowMicros, long latencyMicros, boolean dropped, int inFlight) {
        if (!latency.add(nowMicros, latencyMicros, dropped, inFlight)) {
            return;
        }
        boolean used = USED_FACTOR * latency.maxInFlight() >= limit;
        limit = config.clamp(next(limit, latency, used));
        latency.beginWindow(limit);
    }

    /**
     * Returns the limit after a window, before the configured bounds are applied.
     *
     * @param current the limit during the window
     * @param window the measurements of the window
     * @param used whether the requests in flight came near the limit, so that a higher limit could be useful
     */
    abstract double next(double current, BaseLatencyEstimator window, boolean used);
}
