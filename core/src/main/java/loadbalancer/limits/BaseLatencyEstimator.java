package loadbalancer.limits;

/**
 * Gathers latencies in windows, and estimates what a request takes where nothing waits. That base can't be seen while
 * a queue stands, so now and then the limit is lowered for a window or two and the base measured again, as Envoy's
 * adaptive concurrency filter does. A base that only ever fell to the lowest latency seen would never learn that work
 * has become heavier; one that rose on its own would take the queue for the work.
 */
final class BaseLatencyEstimator {
    /** What a probe leaves of the limit. */
    static final double PROBE_FACTOR = 0.5;

    private static final long MIN_WINDOW_MICROS = 250_000;
    private static final int MIN_WINDOW_SAMPLES = 25;
    /** A window in which requests are dropped closes with fewer samples after so many shortest windows. */
    private static final int DROPPED_WINDOW_FACTOR = 4;
    /** A window lasts so many base latencies at the least. */
    private static final int WINDOW_BASES = 2;
    /** The limit counts as lowered at this part of what it was. */
    private static final double LOWERED_FACTOR = 0.7;
    /** The latency counts as unchanged from this part of what it was. */
    private static final double UNCHANGED_FACTOR = 0.85;

    private static final long FIRST_PROBE_MICROS = 2_000_000;
    private static final long PROBE_INTERVAL_MICROS = 15_000_000;

    /** Whether the base is being probed, and whether requests from before the probe are still ending. */
    private enum Probe {
        NONE,
        SETTLING,
        MEASURING
    }

    // the window that is open
    private double latencySumMicros;
    private int samples;
    private int maxInFlight;
    private boolean dropped;
    private long windowStartMicros = Long.MIN_VALUE;

    private Probe probe = Probe.NONE;
    private long nextProbeMicros = Long.MIN_VALUE;
    private double referenceLimit; // the limit before it was lowered
    private double referenceMeanMicros; // and the mean latency then
    private double baseMicros;
    private double meanMicros;

    /**
     * Takes a request's end into account.
     *
     * @return whether a window has closed that is not part of a probe; {@link #beginWindow} is due then
     */
    boolean add(long nowMicros, long latencyMicros, boolean drop, int inFlight) {
        if (windowStartMicros == Long.MIN_VALUE) {
            windowStartMicros = nowMicros;
            nextProbeMicros = nowMicros + FIRST_PROBE_MICROS;
        }
        dropped |= drop;
        maxInFlight = Math.max(maxInFlight, inFlight);
        if (!drop) {
            latencySumMicros += latencyMicros;
            samples++;
        }
        if (!windowIsOver(nowMicros - windowStartMicros, drop)) {
            return false;
        }
        meanMicros = samples == 0 ? Math.max(meanMicros, baseMicros) : latencySumMicros / samples;
        boolean regular = probe == Probe.NONE;
        updateBase(nowMicros);
        windowStartMicros = nowMicros;
        latencySumMicros = 0;
        samples = 0;
        return regular;
    }

    private boolean windowIsOver(long elapsedMicros, boolean drop) {
        if (elapsedMicros < Math.max(MIN_WINDOW_MICROS, WINDOW_BASES * baseMicros)) {
            return false;
        }
        return samples >= MIN_WINDOW_SAMPLES || drop && elapsedMicros > DROPPED_WINDOW_FACTOR * MIN_WINDOW_MICROS;
    }

    private void updateBase(long nowMicros) {
        switch (probe) {
            case MEASURING -> {
                baseMicros = meanMicros;
                probe = Probe.NONE;
                nextProbeMicros = nowMicros + PROBE_INTERVAL_MICROS;
            }
            case SETTLING -> probe = Probe.MEASURING;
            case NONE -> {
                baseMicros = baseMicros == 0 ? meanMicros : Math.min(baseMicros, meanMicros);
                if (nowMicros >= nextProbeMicros) {
                    probe = Probe.SETTLING;
                }
            }
        }
    }

    /**
     * Begins the next window; to be called after each for which {@link #add} returned true. Where a lowered limit has
     * not lowered the latency, that latency is work and no queue, because a queue would have become shorter with the
     * limit (Little's law). It becomes the base without a probe, or a pool that has become slower would be starved
     * until the next one.
     *
     * @param limit in force from here on
     */
    void beginWindow(double limit) {
        dropped = false;
        maxInFlight = 0;
        if (limit >= referenceLimit) {
            setReference(limit);
        } else if (limit <= LOWERED_FACTOR * referenceLimit) {
            if (meanMicros >= UNCHANGED_FACTOR * referenceMeanMicros) {
                baseMicros = meanMicros;
            }
            setReference(limit);
        }
    }

    private void setReference(double limit) {
        referenceLimit = limit;
        referenceMeanMicros = meanMicros;
    }

    /** Whether a probe is on: the limit is to be {@link #PROBE_FACTOR} of what it was. */
    boolean isProbing() {
        return probe != Probe.NONE;
    }

    /** Mean latency of the last window that closed. */
    double meanMicros() {
        return meanMicros;
    }

    /** Latency where nothing waits. */
    double baseMicros() {
        return baseMicros;
    }

    /** Whether a request was dropped in the window. */
    boolean dropped() {
        return dropped;
    }

    /** The most requests in flight in the window. */
    int maxInFlight() {
        return maxInFlight;
    }
}
