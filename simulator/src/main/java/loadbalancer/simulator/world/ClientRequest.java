package loadbalancer.simulator.world;

/** One request of a client, over all of its attempts. */
public final class ClientRequest {
    final long number;
    final int requestClass;
    final int tenant;
    final int zone;
    final int key;
    final double work;
    final long firstAttemptAt;
    final long deadline;
    final boolean overQuota;
    int attempts;
    boolean finished;

    ClientRequest(
            long number,
            int requestClass,
            int tenant,
            int zone,
            int key,
            double work,
            long firstAttemptAt,
            long deadline,
            boolean overQuota) {
        this.number = number;
        this.requestClass = requestClass;
        this.tenant = tenant;
        this.zone = zone;
        this.key = key;
        this.work = work;
        this.firstAttemptAt = firstAttemptAt;
        this.deadline = deadline;
        this.overQuota = overQuota;
    }

    /** The index of the key that the request concerns; -1 for none. */
    public int key() {
        return key;
    }

    /** The work of the request, in µs of a standard core. */
    public double work() {
        return work;
    }

    /** The deadline of the request, in simulated µs. */
    public long deadline() {
        return deadline;
    }

    /** The index of the request class. */
    public int requestClass() {
        return requestClass;
    }

    /** The index of the tenant; 0 if the plan has no tenants. */
    public int tenant() {
        return tenant;
    }

    /** When the first attempt was sent, in simulated µs. */
    public long firstAttemptAt() {
        return firstAttemptAt;
    }

    /** Whether the tenant had used up its quota when the request arrived. */
    public boolean overQuota() {
        return overQuota;
    }
}
