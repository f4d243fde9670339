package loadbalancer.simulator.world;

/** The ground truth of a world, read at the moment of the call. */
final class WorldTruth implements GroundTruth {
    private static final long NEVER = 1L << 60;
    /** By how much a failing upstream's response time counts as longer, for each fraction of failures. */
    private static final double FAILURE_PENALTY = 50;

    private final World world;

    WorldTruth(World world) {
        this.world = world;
    }

    @Override
    public double responseTimeMicros(String upstream, int zone) {
        Upstream u = world.currentUpstream(upstream);
        if (u == null
                || !u.responsive()
                || u.overloaded()
                || u.draining()
                || world.network.cut(zone, u.zone)
                || world.network.cut(u.zone, zone)) {
            return NEVER;
        }
        long now = world.simulation.now();
        double capacity = u.capacity(now) * (u.rack.limited() ? u.rack.factor() : 1);
        double share = capacity / u.cores;
        double serve = world.meanWork / share * Math.max(1, (u.requestsHeldOrArriving() + 1) / (double) u.cores);
        double cold = u.slowStartWeight(now) < 1 ? 2 - u.slowStartWeight(now) : 1;
        double time = 2.0 * world.network.mean(zone, u.zone) + serve * cold;
        return u.failingFraction() > 0 ? time * (1 + FAILURE_PENALTY * u.failingFraction()) : time;
    }

    @Override
    public double nominalCapacity(String upstream) {
        Upstream u = world.upstreamById(upstream);
        return u == null ? 1 : u.nominal();
    }

    @Override
    public boolean isFast(String upstream) {
        Upstream u = world.upstreamById(upstream);
        double mean = 0;
        for (double s : world.kindSpeed) {
            mean += s / world.kindSpeed.length;
        }
        return u != null && world.kindSpeed[u.kindNumber] > mean;
    }

    @Override
    public double slowStartWeight(String upstream) {
        Upstream u = world.currentUpstream(upstream);
        return u == null ? 1 : u.slowStartWeight(world.simulation.now());
    }
}
