package loadbalancer.limits;

/**
 * Limits the retries of a route to a ratio of its first attempts over a sliding window, plus a few per second for
 * routes with little traffic, as Finagle's RetryBudget does. If clients mark their own retries, these are taken from
 * the same budget, so that the balancer makes no further retries during a retry storm of clients.
 *
 * <p>Pure: the caller passes the time, which must not go back. Not thread-safe.
 */
public final class RetryBudget {
    private static final double MICROS_PER_SECOND = 1e6;

    private final double ratio;
    private final double minPerSecond;
    private final double windowMicros;
    private double balance;
    private long updatedAtMicros = Long.MIN_VALUE;

    /**
     * Creates a budget that initially contains the minimum of retries for one window.
     *
     * @param ratio retries that each first attempt allows, 0 or more
     * @param minPerSecond retries per second that are allowed in any case, 0 or more
     * @param windowMicros time for which first attempts count, over 0
     * @throws IllegalArgumentException if a parameter is out of range
     */
    public RetryBudget(double ratio, double minPerSecond, long windowMicros) {
        if (!(ratio >= 0) || !(minPerSecond >= 0) || windowMicros <= 0) {
            throw new IllegalArgumentException("ratio is " + ratio + " (expected 0 or more), minPerSecond is "
                    + minPerSecond + " (expected 0 or more), windowMicros is " + windowMicros + " (expected over 0)");
        }
        this.ratio = ratio;
        this.minPerSecond = minPerSecond;
        this.windowMicros = windowMicros;
        this.balance = minRetriesPerWindow();
    }

    private double minRetriesPerWindow() {
        return minPerSecond * windowMicros / MICROS_PER_SECOND;
    }

    // Unused budget expires, so that budget saved in an idle hour cannot feed a retry storm.
    private void expire(long nowMicros) {
        double elapsedMicros = updatedAtMicros == Long.MIN_VALUE ? 0 : Math.max(0, nowMicros - updatedAtMicros);
        updatedAtMicros = Math.max(updatedAtMicros, nowMicros);
        double baseBalance = minRetriesPerWindow();
        balance = baseBalance + (balance - baseBalance) * Math.exp(-elapsedMicros / windowMicros);
    }

    /** Takes over the balance of a former budget. */
    public void restore(RetryBudget former) {
        balance = former.balance;
        updatedAtMicros = former.updatedAtMicros;
    }

    /** Counts a first attempt. */
    public void deposit(long nowMicros) {
        expire(nowMicros);
        balance += ratio;
    }

    /** Takes one retry from the budget; returns false and takes nothing if none is left. */
    public boolean tryWithdraw(long nowMicros) {
        expire(nowMicros);
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }
}
