package loadbalancer.simulator.world;

/** The place of one balancer, identified by rank and zone, which successive processes fill. */
final class BalancerSlot {
    final int rank;
    final int zone;
    private Balancer serving;
    private boolean admitted = true;
    private int incarnations;

    BalancerSlot(int rank, int zone) {
        this.rank = rank;
        this.zone = zone;
    }

    /** The process that receives new requests; null while there is none. */
    Balancer serving() {
        return serving != null && serving.alive() ? serving : null;
    }

    void setServing(Balancer balancer) {
        serving = balancer;
    }

    int nextIncarnation() {
        return incarnations++;
    }

    /** Whether clients send requests to this balancer. */
    boolean admitted() {
        return admitted;
    }

    void setAdmitted(boolean value) {
        admitted = value;
    }
}
