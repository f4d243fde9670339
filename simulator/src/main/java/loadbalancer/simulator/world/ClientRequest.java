package loadbalancer.simulator.world;

/** What a client wants once, over all its tries. */
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

    /** What it concerns, by number; -1 where nothing. */
    public int key() {
        return key;
    }

    /** Its work, in µs of a standard core. */
    public double work() {
        return work;
    }

    /** The deadline of the request, in µs. */
    public long deadline() {
        return deadline;
    }

    /** Its class, by number. */
    public int requestClass() {
        return requestClass;
    }

    /** Its tenant, by number; 0 where there are none. */
    public int tenant() {
        return tenant;
    }

    /** When its first try was sent, in µs. */
    public long firstAttemptAt() {
        return firstAttemptAt;
    }

    /** Whether its tenant had used up its share. */
    public boolean overQuota() {
        return overQuota;
    }
}
