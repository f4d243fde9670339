package loadbalancer.limits;

/**
 * Additive increase, multiplicative decrease, as TCP Reno (Jacobson, "Congestion avoidance and control", 1988): one
 * more with each round of answers while the limit is used, a tenth less where some were dropped, once per round.
 */
final class AimdLimit implements ConcurrencyLimit {
    private static final double DECREASE_FACTOR = 0.9;
    private static final double LATENCY_SMOOTHING = 0.1;
    /** The limit is in use where the requests in flight, times this, reach it. */
    private static final double USED_FACTOR = 2.0;

    private final ConcurrencyLimitConfig config;
    private double limit;
    private double roundMicros; // smoothed latency
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
        roundMicros += LATENCY_SMOOTHING * (latencyMicros - roundMicros);
        // Requests that end well below the limit say nothing of what the pool could take beyond it.
        if (USED_FACTOR * inFlight >= limit) {
            limit = Math.min(config.max(), limit + 1 / limit);
        }
    }

    private void decrease(long nowMicros) {
        if (decreasedAtMicros == Long.MIN_VALUE || nowMicros - decreasedAtMicros >= roundMicros) {
            limit = Math.max(config.min(), limit * DECREASE_FACTOR);
            decreasedAtMicros = nowMicros;
        }
    }
}
