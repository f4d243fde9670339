package loadbalancer.simulator.fleet;

import java.util.List;

/**
 * What a scale run plays; times in µs.
 *
 * @param sweeps which axis is run at which sizes
 * @param outage null where there is none
 * @param restart null where the fleet isn't restarted
 */
public record FleetPlan(
        String name,
        String question,
        long seed,
        Fleet fleet,
        Churn.Rates churn,
        Discovery discovery,
        Restart restart,
        Outage outage,
        List<Sweep> sweeps) {
    /** Keeps a copy. */
    public FleetPlan {
        sweeps = List.copyOf(sweeps);
    }

    /**
     * What stands at each size, unless the axis says otherwise.
     *
     * @param ask whether lists are asked for, or pushed
     * @param balancers hollow ones
     * @param real balancers by the {@code run} line, beside these
     * @param loadPerSecond requests to each of the real ones
     * @param decisionsPerSecond of each hollow one, answered at once
     * @param loops threads that all hollow ones share
     * @param idle time for which nothing changes, measured by itself
     * @param length time of the churn
     * @param reach for how long what should come is waited for, before it is said not to have come
     * @param upstreamsMost that a hollow balancer holds of a list, as one by the {@code run} line does by its heap
     */
    public record Fleet(
            boolean ask,
            int balancers,
            int upstreams,
            int real,
            double loadPerSecond,
            double decisionsPerSecond,
            int loops,
            List<String> zones,
            int rackSize,
            long idle,
            long length,
            long reach,
            int upstreamsMost) {
        /** Keeps a copy. */
        public Fleet {
            zones = List.copyOf(zones);
        }
    }

    /**
     * The stand-in.
     *
     * @param callTime that each call takes, one after another
     * @param callTimeout after which a waiting call is refused
     * @param kept revisions of which the changes are known; who comes from an older one gets the whole list
     */
    public record Discovery(long callTime, long callTimeout, int kept) {}

    /**
     * A restart of all hollow balancers at one moment.
     *
     * @param known whether they come back with the list that they had, or with none
     */
    public record Restart(boolean known) {}

    /** How discovery fails. */
    public enum Kind {
        DOWN,
        CUT_OFF,
        SLOW
    }

    /** Discovery fails for that time, and comes back; {@code callTime} is of a slow one. */
    public record Outage(Kind kind, long length, long callTime) {}

    /** One axis and its sizes, growing. */
    public record Sweep(String axis, List<Long> sizes) {
        /** Keeps a copy. */
        public Sweep {
            sizes = List.copyOf(sizes);
        }
    }

    /** The same before that many upstreams, with that many hollow balancers. */
    FleetPlan withSize(int balancers, int upstreams) {
        Fleet f = fleet;
        return new FleetPlan(
                name,
                question,
                seed,
                new Fleet(
                        f.ask,
                        balancers,
                        upstreams,
                        f.real,
                        f.loadPerSecond,
                        f.decisionsPerSecond,
                        f.loops,
                        f.zones,
                        f.rackSize,
                        f.idle,
                        f.length,
                        f.reach,
                        f.upstreamsMost),
                churn,
                discovery,
                restart,
                outage,
                sweeps);
    }
}
