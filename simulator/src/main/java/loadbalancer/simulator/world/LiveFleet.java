package loadbalancer.simulator.world;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.simulator.engine.RandomStream;

/**
 * The upstreams and the faults of a world, driven by the caller's clock, so that servers on real sockets behave as the
 * same model does in simulated time. It has no clients and no balancers; the caller can read the list of the discovery
 * service. Not thread-safe; times are in µs since the start of the day.
 */
public final class LiveFleet {
    /** Receives the outcome of each request at its upstream. */
    @FunctionalInterface
    public interface Replies {
        /** Called once for each request, from within {@link LiveFleet#advance} or {@link LiveFleet#accept}. */
        void ended(long request, AttemptOutcome outcome);
    }

    private static final long NO_DEADLINE_MICROS = 1L << 50;

    private final World world;
    private final RandomStream works;

    /** Draws the world of {@code seed}; {@code replies} receives the outcome of each request. */
    public LiveFleet(WorldPlan plan, long seed, Replies replies) {
        world = new World(
                plan,
                seed,
                (settings, s, truth) -> {
                    throw new IllegalStateException("a live fleet has no balancers");
                },
                new NoOpObserver());
        world.slots.clear();
        world.transport.replyTo((attempt, outcome) -> replies.ended(attempt.request().serial, outcome));
        works = world.streams.of("live", 0, "work");
        world.simulation.runUntil(World.DAY_START_MICROS);
        new Timeline(world).install();
    }

    /** Advances the simulation to {@code micros} since the start of the day; does nothing if that time has passed. */
    public void advance(long micros) {
        long until = World.DAY_START_MICROS + micros;
        if (until > world.simulation.now()) {
            world.simulation.runUntil(until);
        }
    }

    /** Number of addresses used so far; addresses are numbered from 0. */
    public int addressCount() {
        return world.addressCount();
    }

    /** Whether the process at that address accepts connections; a silent one accepts them but never answers. */
    public boolean listens(int address) {
        Upstream upstream = world.upstreamAt(address);
        return upstream != null && upstream.alive() && !upstream.overloaded();
    }

    /** Whether the process at that address is silent: it never answers. */
    public boolean silent(int address) {
        Upstream upstream = world.upstreamAt(address);
        return upstream != null && upstream.silent();
    }

    /** The present list of the discovery service: each endpoint with its address. */
    public Map<Endpoint, Integer> list() {
        Map<Endpoint, Integer> all = new LinkedHashMap<>();
        for (Endpoint endpoint : world.discovery.list()) {
            all.put(endpoint, world.addressOf(endpoint.id()));
        }
        return all;
    }

    /** The address of an upstream; null for an unknown id. */
    public Integer addressOf(String id) {
        return world.addressOf(id);
    }

    /** Whether the discovery service answers. */
    public boolean discoveryAvailable() {
        return !world.discovery.isDown();
    }

    /**
     * Handles a request that has arrived completely at that address.
     *
     * @param request the caller's number for the request
     * @param requestClass the index of the request class
     * @param newConnection whether the request is the first on its connection
     */
    public void accept(long request, int address, int requestClass, int key, boolean newConnection) {
        Upstream upstream = world.upstreamAt(address);
        WorldPlan.RequestClassPlan classPlan = world.plan.classes().get(requestClass);
        double mean = classPlan.work().midpoint();
        double work =
                switch (classPlan.spread()) {
                    case EXPONENTIAL -> works.exponential(mean);
                    case LOGNORMAL -> works.lognormal(
                            mean, classPlan.variation().midpoint());
                    case PARETO -> works.pareto(mean, classPlan.variation().midpoint());
                    case FIXED -> mean;
                };
        long now = world.simulation.now();
        ClientRequest clientRequest =
                new ClientRequest(request, requestClass, 0, 0, key, work, now, now + NO_DEADLINE_MICROS, false);
        BalancerRequest balancerRequest = new BalancerRequest(
                Long.toString(request), request, clientRequest, null, now, now + NO_DEADLINE_MICROS);
        Attempt attempt = new Attempt(balancerRequest, 0, upstream.id, upstream, now);
        upstream.accept(attempt, newConnection, now);
    }

    /** Capacity of the initial fleet, in requests per second of the mean work of all classes. */
    public double capacityPerSecond() {
        return world.nominalCapacity / world.meanWork * 1e6;
    }

    /** The faults drawn for the day. */
    public List<Timeline.FaultInterval> faultIntervals() {
        return world.faultIntervals();
    }
}
