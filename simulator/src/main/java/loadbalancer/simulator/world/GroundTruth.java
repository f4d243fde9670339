package loadbalancer.simulator.world;

/** The true state of the upstreams, which no real balancer can see; for the oracle policy. */
public interface GroundTruth {
    /**
     * Expected time until the answer to an average request sent to that upstream now, in µs; a very large value
     * where no answer would come.
     *
     * @param zone the zone of the balancer that sends the request
     */
    double responseTimeMicros(String upstream, int zone);

    /** Capacity of that upstream after slow start and without faults, in standard cores. */
    double nominalCapacity(String upstream);

    /** Whether the upstream is of a kind faster than the mean of all kinds. */
    boolean isFast(String upstream);

    /** Fraction of its capacity that the upstream has in slow start, from its initial weight up to 1. */
    double slowStartWeight(String upstream);
}
