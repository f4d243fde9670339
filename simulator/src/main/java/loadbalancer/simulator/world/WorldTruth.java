package loadbalancer.simulator.world;

/** The ground truth of a world, read at the moment of the call. */
final class WorldTruth implements GroundTruth {
    private static final long NEVER_MICROS = 1L << 60;
    /** How much longer a failing upstream's response time counts, as a multiple per unit of its failing fraction. */
    private static final double FAILURE_PENALTY = 50;

    private final World world;

    WorldTruth(World world) {
        this.world = world;
    }

    @Override
    public double responseTimeMicros(String upstream, int zone) {
        Upstream server = world.currentUpstream(upstream);
        if (server == null
                || !server.responsive()
                || server.overloaded()
                || server.draining()
                || world.network.cut(zone, server.zone)
                || world.network.cut(server.zone, zone)) {
            return NEVER_MICROS;
        }
        long now = world.simulation.now();
        double capacity = server.capacity(now) * (server.rack.limited() ? server.rack.factor() : 1);
        double coreSpeed = capacity / server.cores;
        double serviceTime =
                world.meanWork / coreSpeed * Math.max(1, (server.requestsHeldOrArriving() + 1) / (double) server.cores);
        double slowStartFactor = server.slowStartWeight(now) < 1 ? 2 - server.slowStartWeight(now) : 1;
        double time = 2.0 * world.network.mean(zone, server.zone) + serviceTime * slowStartFactor;
        return server.failingFraction() > 0 ? time * (1 + FAILURE_PENALTY * server.failingFraction()) : time;
    }

    @Override
    public double nominalCapacity(String upstream) {
        Upstream server = world.upstreamById(upstream);
        return server == null ? 1 : server.nominalCapacity();
    }

    @Override
    public boolean isFast(String upstream) {
        Upstream server = world.upstreamById(upstream);
        double mean = 0;
        for (double s : world.kindSpeed) {
            mean += s / world.kindSpeed.length;
        }
        return server != null && world.kindSpeed[server.kindNumber] > mean;
    }

    @Override
    public double slowStartWeight(String upstream) {
        Upstream server = world.currentUpstream(upstream);
        return server == null ? 1 : server.slowStartWeight(world.simulation.now());
    }
}
