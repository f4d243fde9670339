package loadbalancer.simulator.world;

/** A balancer's name and address, whatever process serves there. */
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

    /** The process that takes what comes; null while there is none. */
    Balancer serving() {
        return serving != null && serving.alive() ? serving : null;
    }

    void serving(Balancer balancer) {
        serving = balancer;
    }

    int nextIncarnation() {
        return incarnations++;
    }

    /** Whether the front sends clients here. */
    boolean admitted() {
        return admitted;
    }

    void admitted(boolean now) {
        admitted = now;
    }
}
