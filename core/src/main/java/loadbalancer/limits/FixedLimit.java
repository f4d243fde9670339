package loadbalancer.limits;

/** A limit that never changes. */
final class FixedLimit implements ConcurrencyLimit {
    private final int limit;

    FixedLimit(int limit) {
        this.limit = limit;
    }

    @Override
    public int limit() {
        return limit;
    }

    @Override
    public void ended(long nowMicros, long latencyMicros, boolean dropped, int inFlight) {}
}
