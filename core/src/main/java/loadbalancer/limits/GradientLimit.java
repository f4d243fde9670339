package loadbalancer.limits;

/**
 * Moves the limit by the ratio of base to present latency, plus the square root of the limit as room for bursts (as
 * in Envoy's adaptive concurrency filter and Netflix' gradient limit). Both grow with the limit, so a large pool moves
 * as fast as a small one.
 */
final class GradientLimit implements ConcurrencyLimit {
    private static final double BUFFER = 1.25; // latency above the base that is no queue yet
    private static final double LEAST = 0.5;
    private static final double SMOOTH = 0.5;

    private final Plan plan;
    private final BaseLatency base = new BaseLatency();
    private double limit;

    GradientLimit(Plan plan) {
        this.plan = plan;
        this.limit = plan.start();
    }

    @Override
    public int limit() {
        return (int) Math.max(plan.least(), base.probing() ? limit * BaseLatency.PROBE : limit);
    }

    @Override
    public void ended(long now, long latency, boolean dropped, int open) {
        if (!base.add(now, latency, dropped, open)) {
            return;
        }
        double gradient = Math.max(LEAST, Math.min(1, BUFFER * base.base() / Math.max(1, base.mean())));
        double next = gradient * limit + Math.sqrt(limit);
        if (base.dropped()) {
            next = Math.min(next, limit * 0.9);
        }
        if (next < limit || 2.0 * base.busiest() >= limit) {
            limit += SMOOTH * (next - limit);
        }
        limit = Math.max(plan.least(), Math.min(plan.most(), limit));
        base.next(limit);
    }
}
