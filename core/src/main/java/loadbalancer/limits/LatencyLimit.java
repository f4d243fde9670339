package loadbalancer.limits;

/**
 * A limit that compares present latency with the base latency, window by window, and that is lowered while the base is
 * probed. Subclasses say how the limit moves at the end of a window.
 */
abstract class LatencyLimit implements ConcurrencyLimit {
    /** The limit is in use where the requests in flight, times this, reach it. */
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
     * The limit after a window, before the configured bounds are applied.
     *
     * @param current the limit so far
     * @param window what was seen in the window
     * @param used whether the requests in flight came near the limit, so that a higher one could be of use
     */
    abstract double next(double current, BaseLatencyEstimator window, boolean used);
}
