package loadbalancer.simulator.world;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.simulator.engine.RandomStream;

/**
 * The upstreams of a world with its timeline, played by somebody else's clock: what answers behind real sockets is the
 * same model as in simulated time. It has no clients and no balancers; the discovery service's list is there to be
 * read. Not thread-safe; times are µs since the day began.
 */
public final class LiveFleet {
    /** Hears how a request ended at its upstream. */
    @FunctionalInterface
    public interface Replies {
        /** Called once for each request, from within {@link LiveFleet#advance} or {@link LiveFleet#accept}. */
        void ended(long request, AttemptOutcome outcome);
    }

    private static final long FAR = 1L << 50;

    private final World world;
    private final RandomStream works;

    /** Draws the world of {@code seed}; {@code replies} is notified of each request's end. */
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
        world.simulation.runUntil(World.DAY_START);
        new Timeline(world).install();
    }

    /** Lets all happen that is due by then. */
    public void advance(long micros) {
        long to = World.DAY_START + micros;
        if (to > world.simulation.now()) {
            world.simulation.runUntil(to);
        }
    }

    /** Addresses that the fleet has had so far: 0 up to this. */
    public int addressCount() {
        return world.addressCount();
    }

    /** Whether the process at that address takes connections; one that is silent takes them and says nothing. */
    public boolean listens(int address) {
        Upstream upstream = world.upstreamAt(address);
        return upstream != null && upstream.alive() && !upstream.overloaded();
    }

    /** Whether it says nothing. */
    public boolean silent(int address) {
        Upstream upstream = world.upstreamAt(address);
        return upstream != null && upstream.silent();
    }

    /** The list as the discovery service has it now, by id, with the address of each. */
    public Map<Endpoint, Integer> list() {
        Map<Endpoint, Integer> all = new LinkedHashMap<>();
        for (Endpoint endpoint : world.discovery.list()) {
            all.put(endpoint, world.addressOf(endpoint.id()));
        }
        return all;
    }

    /** The address of an id; null for one that never was. */
    public Integer addressOf(String id) {
        return world.addressOf(id);
    }

    /** Whether the discovery service answers. */
    public boolean discoveryAvailable() {
        return !world.discovery.isDown();
    }

    /**
     * A whole request has come to that address.
     *
     * @param request the caller's number for it
     * @param kind its class, by number
     * @param fresh over a connection that has not been used before
     */
    public void accept(long request, int address, int kind, int key, boolean fresh) {
        Upstream upstream = world.upstreamAt(address);
        WorldPlan.RequestClassPlan requestKind = world.plan.classes().get(kind);
        double mean = requestKind.work().midpoint();
        double work =
                switch (requestKind.spread()) {
                    case EXPONENTIAL -> works.exponential(mean);
                    case LOGNORMAL -> works.lognormal(
                            mean, requestKind.variation().midpoint());
                    case PARETO -> works.pareto(mean, requestKind.variation().midpoint());
                    case FIXED -> mean;
                };
        long now = world.simulation.now();
        ClientRequest clientRequest = new ClientRequest(request, kind, 0, 0, key, work, now, now + FAR, false);
        BalancerRequest balancerRequest =
                new BalancerRequest(Long.toString(request), request, clientRequest, null, now, now + FAR);
        Attempt attempt = new Attempt(balancerRequest, 0, upstream.id, upstream, now);
        upstream.accept(attempt, fresh, now);
    }

    /** Capacity of all that run at the start, in requests a second of the classes' mean work. */
    public double capacityPerSecond() {
        return world.nominalCapacity / world.meanWork * 1e6;
    }

    /** The day's faults as they were drawn. */
    public List<Timeline.FaultInterval> faultIntervals() {
        return world.faultIntervals();
    }
}
