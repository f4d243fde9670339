package loadbalancer.limits;

/**
 * Additive increase, multiplicative decrease, as TCP Reno (Jacobson, "Congestion avoidance and control", 1988): one
 * more with each round of answers while the limit is used, a tenth less where some were dropped, once per round.
 */
final class AimdLimit implements ConcurrencyLimit {
    private static final double DECREASE = 0.9;
    private static final double SMOOTH = 0.1;

    private final Plan plan;
    private double limit;
    private double round; // µs that a request takes, about
    private long decreasedAt = Long.MIN_VALUE;

    AimdLimit(Plan plan) {
        this.plan = plan;
        this.limit = plan.start();
    }

    @Override
    public int limit() {
        return (int) limit;
    }

    @Override
    public void ended(long now, long latency, boolean dropped, int open) {
        if (dropped) {
            if (decreasedAt == Long.MIN_VALUE || now - decreasedAt >= round) {
                limit = Math.max(plan.least(), limit * DECREASE);
                decreasedAt = now;
            }
            return;
        }
        round += SMOOTH * (latency - round);
        if (2.0 * open >= limit) { // one that isn't used has shown nothing
            limit = Math.min(plan.most(), limit + 1 / limit);
        }
    }
}
