package loadbalancer.limits;

/**
 * Collects latencies in windows, and estimates the base latency: the latency of a request that does not wait in a
 * queue. The base can't be measured while there is a queue, so from time to time the limit is lowered for one or two
 * windows and the base measured again, as Envoy's adaptive concurrency filter does. A base that is the lowest latency
 * ever seen would never learn that requests have become more expensive; a base that rises on its own would include
 * queueing.
 */
final class BaseLatencyEstimator {
    /** The limit is multiplied by this during a probe. */
    static final double PROBE_FACTOR = 0.5;

    private static final long MIN_WINDOW_MICROS = 250_000;
    private static final int MIN_WINDOW_SAMPLES = 25;
    /** A window with dropped requests closes without enough samples after this many minimum windows. */
    private static final int DROPPED_WINDOW_FACTOR = 4;
    /** A window lasts at least this many base latencies. */
    private static final int MIN_WINDOW_BASE_LATENCIES = 2;
    /** The limit counts as lowered at or below this fraction of the reference limit. */
    private static final double LOWERED_FACTOR = 0.7;
    /** The latency counts as unchanged at or above this fraction of the reference latency. */
    private static final double UNCHANGED_FACTOR = 0.85;

    private static final long FIRST_PROBE_MICROS = 2_000_000;
    private static final long PROBE_INTERVAL_MICROS = 15_000_000;

    /** State of a probe; while it is SETTLING, requests from before the probe are still ending. */
    private enum Probe {
        NONE,
        SETTLING,
        MEASURING
    }

    // State of the current window.
    private double latencySumMicros;
    private int samples;
    private int maxInFlight;
    private boolean dropped;
    private long windowStartMicros = Long.MIN_VALUE;

    private Probe probe = Probe.NONE;
    private long nextProbeMicros = Long.MIN_VALUE;
    private double referenceLimit; // the limit before it was lowered
    private double referenceMeanMicros; // the mean latency at the reference limit
    private double baseMicros;
    private double meanMicros;

    /**
     * Records the end of a request.
     *
     * @return whether this closed a window outside of a probe; {@link #beginWindow} must be called then
     */
    boolean add(long nowMicros, long latencyMicros, boolean requestDropped, int inFlight) {
        if (windowStartMicros == Long.MIN_VALUE) {
            windowStartMicros = nowMicros;
            nextProbeMicros = nowMicros + FIRST_PROBE_MICROS;
        }
        dropped |= requestDropped;
        maxInFlight = Math.max(maxInFlight, inFlight);
        if (!requestDropped) {
            latencySumMicros += latencyMicros;
            samples++;
        }
        if (!windowIsOver(nowMicros - windowStartMicros, requestDropped)) {
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

    private boolean windowIsOver(long elapsedMicros, boolean requestDropped) {
        if (elapsedMicros < Math.max(MIN_WINDOW_MICROS, MIN_WINDOW_BASE_LATENCIES * baseMicros)) {
            return false;
        }
        return samples >= MIN_WINDOW_SAMPLES
                || requestDropped && elapsedMicros > DROPPED_WINDOW_FACTOR * MIN_WINDOW_MICROS;
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
     * Begins the next window; to be called each time {@link #add} returned true. If a lowered limit has not lowered the
     * latency, the latency is not caused by a queue, because a queue becomes shorter with the limit (Little's law). It
     * becomes the base without a probe; otherwise a pool that has become slower would be starved until the next probe.
     *
     * @param limit the limit from now on
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

    /** Whether a probe is running, during which the limit is multiplied by {@link #PROBE_FACTOR}. */
    boolean isProbing() {
        return probe != Probe.NONE;
    }

    /** Returns the mean latency of the last closed window. */
    double meanMicros() {
        return meanMicros;
    }

    /** Returns the estimated latency of a request that does not wait in a queue. */
    double baseMicros() {
        return baseMicros;
    }

    /** Whether a request was dropped since the last {@link #beginWindow}. */
    boolean dropped() {
        return dropped;
    }

    /** Returns the largest number of requests in flight since the last {@link #beginWindow}. */
    int maxInFlight() {
        return maxInFlight;
    }
}
