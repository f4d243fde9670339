package loadbalancer.limits;

/**
 * Holds the number of requests that wait between two small bounds, as TCP Vegas (Brakmo and Peterson, 1995) and
 * Netflix' concurrency limits do: what waits is the limit times the part of the latency that is above the base. The
 * bounds grow with the logarithm of the limit, so at a large pool the chance in the mean latency alone exceeds them.
 */
final class VegasLimit implements ConcurrencyLimit {
    private static final double ALPHA = 3;
    private static final double BETA = 6;

    private final Plan plan;
    private final BaseLatency base = new BaseLatency();
    private double limit;

    VegasLimit(Plan plan) {
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
        double step = Math.max(1, Math.log10(limit));
        double waiting = limit * (1 - base.base() / Math.max(1, base.mean()));
        if (base.dropped() || waiting > BETA * step) {
            limit -= step;
        } else if (waiting < ALPHA * step && 2.0 * base.busiest() >= limit) {
            limit += step;
        }
        limit = Math.max(plan.least(), Math.min(plan.most(), limit));
        base.next(limit);
    }
}
