package loadbalancer.limits;

/**
 * Gathers latencies in windows, and knows what a request takes where nothing waits. That base can't be seen while a
 * queue stands, so now and then, for a window or two, the limit is lowered and the base measured anew (the idea of
 * Envoy's adaptive concurrency filter). A base that only ever fell to the least seen would never learn that work has
 * become heavier; one that rose on its own would take the queue for the work.
 */
final class BaseLatency {
    /** What a probe leaves of the limit. */
    static final double PROBE = 0.5;

    private static final long WINDOW = 250_000; // µs at the least
    private static final int SAMPLES = 25; // and so many
    private static final double LOWERED = 0.7;
    private static final double AS_BEFORE = 0.85;
    private static final long FIRST_PROBE = 2_000_000;
    private static final long PROBE_EVERY = 15_000_000;

    private double sum;
    private int count;
    private int busiest;
    private boolean dropped;
    private long since = Long.MIN_VALUE;
    private long probeAt = Long.MIN_VALUE;
    private boolean settling; // what was taken before the probe is still ending
    private boolean probing;
    private double high; // the limit before it was lowered
    private double highMean; // and the latency then
    private double base;
    private double mean;

    /** Takes an end into account; true where a window has closed that isn't a probe's. */
    boolean add(long now, long latency, boolean drop, int open) {
        if (since == Long.MIN_VALUE) {
            since = now;
            probeAt = now + FIRST_PROBE;
        }
        dropped |= drop;
        busiest = Math.max(busiest, open);
        if (!drop) {
            sum += latency;
            count++;
        }
        if (now - since < Math.max(WINDOW, 2 * base) || count < SAMPLES && !(drop && now - since > 4 * WINDOW)) {
            return false;
        }
        mean = count == 0 ? Math.max(mean, base) : sum / count;
        boolean usual = !probing;
        if (probing && !settling) {
            base = mean;
            probing = false;
            probeAt = now + PROBE_EVERY;
        } else if (probing) {
            settling = false;
        } else {
            base = base == 0 ? mean : Math.min(base, mean);
            if (now >= probeAt) {
                probing = true;
                settling = true;
            }
        }
        since = now;
        sum = 0;
        count = 0;
        return usual;
    }

    /**
     * Begins the next window's notes; call after each that closed, with the limit from here on. Where a limit that
     * was lowered has not lowered the latency, what is left of it is work and no queue: with a queue it would have
     * fallen as the limit did (Little's law). That becomes the base without a probe, or a pool that has become slower
     * would be starved until the next one.
     */
    void next(double limit) {
        dropped = false;
        busiest = 0;
        if (limit >= high) {
            high = limit;
            highMean = mean;
        } else if (limit <= LOWERED * high) {
            if (mean >= AS_BEFORE * highMean) {
                base = mean;
            }
            high = limit;
            highMean = mean;
        }
    }

    /** Whether a probe is on: the limit is to be {@link #PROBE} of what it was. */
    boolean probing() {
        return probing;
    }

    /** Mean of the last window that closed, in µs. */
    double mean() {
        return mean;
    }

    /** What a request takes where nothing waits, in µs. */
    double base() {
        return base;
    }

    /** Whether something was dropped in the window. */
    boolean dropped() {
        return dropped;
    }

    /** The most that were open in the window. */
    int busiest() {
        return busiest;
    }
}
