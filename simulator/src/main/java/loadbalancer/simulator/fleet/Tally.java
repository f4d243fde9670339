package loadbalancer.simulator.fleet;

import org.HdrHistogram.Histogram;

/** What the hollow balancers of one loop have met. Only that loop's thread writes; others read between windows. */
final class Tally {
    private static final long LONGEST_US = 600_000_000L;

    final Histogram inForce = new Histogram(LONGEST_US, 3);
    private final StandInDiscovery discovery;
    private long windowFrom = Long.MAX_VALUE;
    long lists; // whole ones handed to policies
    long changes; // lists of changes
    long entries; // in all of them
    long failed; // calls and watches
    long unread; // lists that the client could not read
    long decided; // requests that a policy sent somewhere
    long refused; // and that it refused or failed
    String complaint; // the last that a client had

    Tally(StandInDiscovery discovery) {
        this.discovery = discovery;
    }

    /** Begins a new window: what was published before is no part of it. */
    void begin() {
        inForce.reset();
        lists = 0;
        changes = 0;
        entries = 0;
        failed = 0;
        unread = 0;
        decided = 0;
        refused = 0;
        windowFrom = System.nanoTime();
    }

    /** A policy has what was published up to {@code rev}, having had {@code before}. */
    void inForce(long before, long rev) {
        long now = System.nanoTime();
        for (long r = Math.max(before + 1, rev - 100_000); r <= rev; r++) {
            long at = discovery.publishedAt(r);
            if (at != 0 && at >= windowFrom) {
                inForce.recordValue(Math.max(1, Math.min(LONGEST_US, (now - at) / 1_000)));
            }
        }
    }

    /** Adds another's figures to these. */
    void add(Tally other) {
        inForce.add(other.inForce);
        lists += other.lists;
        changes += other.changes;
        entries += other.entries;
        failed += other.failed;
        unread += other.unread;
        decided += other.decided;
        refused += other.refused;
        complaint = other.complaint == null ? complaint : other.complaint;
    }
}
