package loadbalancer.routes;

/**
 * Estimates which fraction of its usual load a pool can take: from the endpoints that are up in relation to its full
 * strength, and from the requests that it serves in relation to those that it is given. Not thread-safe.
 */
public final class PoolHealth {
    private static final double OUTCOME_DECAY_MICROS = 1e6;
    /** A pool that was made smaller on purpose counts as being at full strength after about this time. */
    private static final double FULL_STRENGTH_DECAY_MICROS = 600e6;
    /** A pool that serves at least this fraction of its requests is healthy. */
    private static final double HEALTHY_SUCCESS_RATE = 0.9;
    /** Served requests that are assumed for a new or idle pool. */
    private static final double PRIOR_SUCCESSES = 5;

    private final int configuredStrength; // 0 if it is learned
    private double fullStrength;
    private int endpointsUp;
    private boolean endpointsKnown;
    private long strengthUpdatedMicros;
    private double servedRequests;
    private double endedRequests;
    private long outcomesUpdatedMicros = Long.MIN_VALUE;

    /**
     * Creates the health of a pool without endpoints.
     *
     * @param fullStrength number of endpoints that the pool normally has; 0 to learn it
     */
    public PoolHealth(int fullStrength) {
        this.configuredStrength = fullStrength;
        this.fullStrength = fullStrength;
    }

    /** Sets the number of endpoints that requests may be sent to. */
    public void setEndpointsUp(long nowMicros, int endpoints) {
        decayStrength(nowMicros);
        endpointsUp = endpoints;
        endpointsKnown = true;
        strengthUpdatedMicros = nowMicros;
        if (configuredStrength == 0) {
            fullStrength = Math.max(fullStrength, endpointsUp);
        }
    }

    // A learned full strength falls towards the number of endpoints that are up.
    private void decayStrength(long nowMicros) {
        if (endpointsKnown && configuredStrength == 0) {
            double decayFactor = Math.exp(-Math.max(0, nowMicros - strengthUpdatedMicros) / FULL_STRENGTH_DECAY_MICROS);
            fullStrength = endpointsUp + (fullStrength - endpointsUp) * decayFactor;
            strengthUpdatedMicros = Math.max(strengthUpdatedMicros, nowMicros);
        }
    }

    /** Records the end of a request that the pool was given. */
    public void ended(long nowMicros, boolean success) {
        decayOutcomes(nowMicros);
        endedRequests++;
        servedRequests += success ? 1 : 0;
    }

    private void decayOutcomes(long nowMicros) {
        if (outcomesUpdatedMicros != Long.MIN_VALUE && nowMicros > outcomesUpdatedMicros) {
            double decayFactor = Math.exp(-(nowMicros - outcomesUpdatedMicros) / OUTCOME_DECAY_MICROS);
            servedRequests *= decayFactor;
            endedRequests *= decayFactor;
        }
        outcomesUpdatedMicros = Math.max(outcomesUpdatedMicros, nowMicros);
    }

    /**
     * Returns the fraction of its usual load that the pool can take, from 0 to 1.
     *
     * @param share fraction of the traffic that the pool gets now
     * @param overprovisioningFactor load that a healthy endpoint can take relative to its usual load, as in {@link
     *     Overflow}
     */
    public double healthyFraction(long nowMicros, double share, double overprovisioningFactor) {
        decayStrength(nowMicros);
        decayOutcomes(nowMicros);
        double upFraction = fullStrength <= 0 ? 0 : Math.min(1, endpointsUp / fullStrength);
        double successRate = (servedRequests + PRIOR_SUCCESSES) / (endedRequests + PRIOR_SUCCESSES);
        // An unhealthy pool can take what it serves of its share, and gets no more until it is healthy again. The
        // division cancels the factor that Overflow multiplies by.
        return Math.min(
                upFraction, successRate >= HEALTHY_SUCCESS_RATE ? 1 : successRate * share / overprovisioningFactor);
    }

    /** Returns the number of endpoints that requests may be sent to. */
    public int endpointsUp() {
        return endpointsUp;
    }
}
