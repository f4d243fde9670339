package loadbalancer.limits;

/**
 * How many retries a route may make: a ratio of its first attempts over a sliding window, and a few per second for
 * routes with little traffic, as in Finagle's RetryBudget. Where clients mark their own retries, those draw on the
 * budget too, so that a storm of them leaves none to the balancer.
 *
 * <p>Pure: the caller brings the time, which must not go back. Not thread-safe.
 */
public final class RetryBudget {
    private static final double MICROS_PER_SECOND = 1e6;

    private final double ratio;
    private final double minPerSecond;
    private final double windowMicros;
    private double balance;
    private long updatedAtMicros = Long.MIN_VALUE;

    /**
     * Creates a budget that holds the retries that are free within one window.
     *
     * @param ratio retries for each first attempt, 0 or more
     * @param minPerSecond retries per second that are free
     * @param windowMicros over which first attempts count
     * @throws IllegalArgumentException where one of them is out of its range
     */
    public RetryBudget(double ratio, double minPerSecond, long windowMicros) {
        if (!(ratio >= 0) || !(minPerSecond >= 0) || windowMicros <= 0) {
            throw new IllegalArgumentException(
                    "impossible budget: share " + ratio + ", " + minPerSecond + " per second, window " + windowMicros);
        }
        this.ratio = ratio;
        this.minPerSecond = minPerSecond;
        this.windowMicros = windowMicros;
        this.balance = freeRetries();
    }

    private double freeRetries() {
        return minPerSecond * windowMicros / MICROS_PER_SECOND;
    }

    // Unused budget expires, so that an idle hour's savings cannot feed a retry storm.
    private void expire(long nowMicros) {
        double elapsedMicros = updatedAtMicros == Long.MIN_VALUE ? 0 : Math.max(0, nowMicros - updatedAtMicros);
        updatedAtMicros = Math.max(updatedAtMicros, nowMicros);
        double free = freeRetries();
        balance = free + (balance - free) * Math.exp(-elapsedMicros / windowMicros);
    }

    /** Goes on with what another budget had left. */
    public void restore(RetryBudget former) {
        balance = former.balance;
        updatedAtMicros = former.updatedAtMicros;
    }

    /** A first attempt is made. */
    public void deposit(long nowMicros) {
        expire(nowMicros);
        balance += ratio;
    }

    /** Takes one retry; false, and nothing is taken, where none is left. */
    public boolean tryWithdraw(long nowMicros) {
        expire(nowMicros);
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }
}
