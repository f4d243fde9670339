package loadbalancer.routes;

/**
 * What fraction of its usual work a pool can do: the listed endpoints against its full strength, and the requests that
 * it serves against those that it is given. Not thread-safe.
 */
public final class PoolHealth {
    private static final double OUTCOME_DECAY_MICROS = 1e6;
    /** A fleet that was made smaller on purpose counts as the full one after about this time. */
    private static final double FULL_STRENGTH_DECAY_MICROS = 600e6;
    /** A pool that serves this fraction of what it is given is healthy. */
    private static final double HEALTHY_SUCCESS_RATE = 0.9;
    /** Served requests that a new or idle pool is credited with. */
    private static final double PRIOR_SUCCESSES = 5;

    private final int configuredStrength; // 0: learned
    private double fullStrength;
    private int endpointsUp;
    private boolean listed;
    private long strengthUpdatedMicros;
    private double served;
    private double given;
    private long outcomesUpdatedMicros = Long.MIN_VALUE;

    /**
     * Creates the health of a pool without endpoints.
     *
     * @param fullStrength how many endpoints the pool has as a rule; 0 to learn it
     */
    public PoolHealth(int fullStrength) {
        this.configuredStrength = fullStrength;
        this.fullStrength = fullStrength;
    }

    /** The pool has that many endpoints that requests may be sent to. */
    public void setEndpointsUp(long nowMicros, int endpoints) {
        decayStrength(nowMicros);
        endpointsUp = endpoints;
        listed = true;
        strengthUpdatedMicros = nowMicros;
        if (configuredStrength == 0) {
            fullStrength = Math.max(fullStrength, endpointsUp);
        }
    }

    // A learned strength falls towards what there is.
    private void decayStrength(long nowMicros) {
        if (listed && configuredStrength == 0) {
            double kept = Math.exp(-Math.max(0, nowMicros - strengthUpdatedMicros) / FULL_STRENGTH_DECAY_MICROS);
            fullStrength = endpointsUp + (fullStrength - endpointsUp) * kept;
            strengthUpdatedMicros = Math.max(strengthUpdatedMicros, nowMicros);
        }
    }

    /** A request that the pool was given has ended. */
    public void ended(long nowMicros, boolean wasServed) {
        decayOutcomes(nowMicros);
        given++;
        served += wasServed ? 1 : 0;
    }

    private void decayOutcomes(long nowMicros) {
        if (outcomesUpdatedMicros != Long.MIN_VALUE && nowMicros > outcomesUpdatedMicros) {
            double kept = Math.exp(-(nowMicros - outcomesUpdatedMicros) / OUTCOME_DECAY_MICROS);
            served *= kept;
            given *= kept;
        }
        outcomesUpdatedMicros = Math.max(outcomesUpdatedMicros, nowMicros);
    }

    /**
     * The fraction of its usual work that the pool can do, from 0 to 1.
     *
     * @param share the fraction of the traffic that the pool gets now
     * @param overprovisioningFactor what a healthy endpoint can take of others' work, as {@link Overflow} has it
     */
    public double healthyFraction(long nowMicros, double share, double overprovisioningFactor) {
        decayStrength(nowMicros);
        decayOutcomes(nowMicros);
        double up = fullStrength <= 0 ? 0 : Math.min(1, endpointsUp / fullStrength);
        double successRate = (served + PRIOR_SUCCESSES) / (given + PRIOR_SUCCESSES);
        // It can do what it serves of what it gets, and is given no more than that until it is healthy again.
        return Math.min(up, successRate >= HEALTHY_SUCCESS_RATE ? 1 : successRate * share / overprovisioningFactor);
    }

    /** Endpoints that requests may be sent to. */
    public int endpointsUp() {
        return endpointsUp;
    }
}
