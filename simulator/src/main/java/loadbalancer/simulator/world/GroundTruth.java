package loadbalancer.simulator.world;

/** What no real balancer can see: for the policy that others are measured against. */
public interface GroundTruth {
    /**
     * Time until an answer to an average request sent to that upstream now, in µs; infinite where none would come.
     *
     * @param zone the asking balancer's
     */
    double responseTimeMicros(String upstream, int zone);

    /** Capacity of that upstream when warm and well, in standard cores. */
    double nominalCapacity(String upstream);

    /** Whether it is of the faster kinds. */
    boolean isFast(String upstream);

    /** How warm it is, from its cold share to 1. */
    double slowStartWeight(String upstream);
}
