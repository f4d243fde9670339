package loadbalancer.limits;

/**
 * How many further tries a route may make: a share of its first tries over a sliding time, and a few per second for
 * routes that see little (the idea is Finagle's RetryBudget). Where clients mark their own retries, those draw on it
 * too: a storm of them then leaves none to the balancer, which is right. Pure; times in µs.
 */
public final class RetryBudget {
    private final double share;
    private final double leastPerSecond;
    private final double window;
    private double balance;
    private long at = Long.MIN_VALUE;

    /**
     * A budget.
     *
     * @param share further tries for each first one, 0 or more
     * @param leastPerSecond further tries per second that are free
     * @param window µs over which first tries count
     */
    public RetryBudget(double share, double leastPerSecond, long window) {
        if (!(share >= 0) || !(leastPerSecond >= 0) || window <= 0) {
            throw new IllegalArgumentException(
                    "impossible budget: share " + share + ", " + leastPerSecond + " per second, window " + window);
        }
        this.share = share;
        this.leastPerSecond = leastPerSecond;
        this.window = window;
        this.balance = leastPerSecond * window / 1e6;
    }

    private void refresh(long now) {
        double passed = at == Long.MIN_VALUE ? 0 : Math.max(0, now - at);
        at = Math.max(at, now);
        // What was saved fades: an idle hour's savings are no licence for a storm.
        double free = leastPerSecond * window / 1e6;
        balance = free + (balance - free) * Math.exp(-passed / window);
    }

    /** Goes on from another budget, with what that one had left. */
    public void restore(RetryBudget former) {
        balance = former.balance;
        at = former.at;
    }

    /** A first try has come. */
    public void deposit(long now) {
        refresh(now);
        balance += share;
    }

    /** Takes one further try; false where there is none left. */
    public boolean withdraw(long now) {
        refresh(now);
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }
}
