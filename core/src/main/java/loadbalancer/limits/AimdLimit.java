package loadbalancer.limits;

/**
 * Additive increase, multiplicative decrease, as in TCP Reno (Jacobson, "Congestion avoidance and control", 1988). In
 * each round trip the limit grows by one while it is used, and shrinks by a tenth, once, if requests were dropped.
 */
final class AimdLimit implements ConcurrencyLimit {
    private static final double DECREASE_FACTOR = 0.9;
    private static final double LATENCY_SMOOTHING = 0.1;
    /** The limit counts as used if the requests in flight, multiplied by this, reach it. */
    private static final double USED_FACTOR = 2.0;

    private final ConcurrencyLimitConfig config;
    private double limit;
    private double smoothedLatencyMicros; // the length of a round trip
    private long decreasedAtMicros = Long.MIN_VALUE;

    AimdLimit(ConcurrencyLimitConfig config) {
        this.config = config;
        this.limit = config.initial();
    }

    @Override
    public int limit() {
        return (int) limit;
    }

    @Override
    public void ended(long nowMicros, long latencyMicros, boolean dropped, int inFlight) {
        if (dropped) {
            decrease(nowMicros);
            return;
        }
        smoothedLatencyMicros += LATENCY_SMOOTHING * (latencyMicros - smoothedLatencyMicros);
        // Requests in flight far below the limit don't show whether the pool could take more than the limit.
        if (USED_FACTOR * inFlight >= limit) {
            limit = Math.min(config.max(), limit + 1 / limit);
        }
    }

    private void decrease(long nowMicros) {
        if (decreasedAtMicros == Long.MIN_VALUE || nowMicros - decreasedAtMicros >= smoothedLatencyMicros) {
            limit = Math.max(config.min(), limit * DECREASE_FACTOR);
            decreasedAtMicros = nowMicros;
        }
    }
}
