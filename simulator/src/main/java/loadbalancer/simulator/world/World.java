package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.LearnedState;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicySettings;
import loadbalancer.simulator.engine.RandomStream;
import loadbalancer.simulator.engine.RandomStreams;
import loadbalancer.simulator.engine.Simulation;

/** One world, drawn from a plan by a seed, and its day from the first arrival to the last answer. */
public final class World {
    static final long DAY_START = 60_000_000; // µs: start times before the day are positive
    private static final long SECOND = 1_000_000;
    private static final long MAX_LINGER_MICROS = 10 * SECOND; // after the last arrival, at the most

    final WorldPlan plan;
    final Simulation simulation = new Simulation();
    final RandomStreams streams;
    final Network network;
    final SimulatedDiscovery discovery;
    final Clients clients;
    final MessageTransport transport;
    final Observer observer;
    final long begin = DAY_START;
    final long randomSeed;
    final double[] kindSpeed;
    final boolean[] dropsCancelled;
    final double connectionsPerCore;
    final double keysPerCore;
    final double connectionOverhead;
    final double handshakeWork;
    final double handshakeRtts;
    final double keyAffinityGain;
    final long keyRetentionMicros;
    final long failureDetectionMicros;
    final List<BalancerSlot> slots = new ArrayList<>();
    final List<Rack> racks = new ArrayList<>();
    final List<Upstream> upstreams = new ArrayList<>(); // that run or have run, in order of start
    private final Map<Integer, Upstream> addresses = new HashMap<>();
    private final Map<String, Integer> addressOf = new HashMap<>();
    private final Map<String, Upstream> byId = new HashMap<>();
    private final List<Balancer> processes = new ArrayList<>();
    private final PolicyFactory policyFactory;
    private final GroundTruth truth = new WorldTruth(this);
    private final List<String> logLines = new ArrayList<>();
    final double[] attemptNoise;
    double nominalCapacity;
    double meanWork;
    double offeredWork;
    private int nextId;
    private int nextAddress;
    private List<Timeline.FaultInterval> faultIntervals = List.of();
    private Runnable everySecond = () -> {};

    /** What the day cost beside what the observer saw; {@code capacity}: what the fleet does, µs of work per µs. */
    public record Costs(
            double offeredWork,
            double wastedWork,
            long handshakes,
            long crossings,
            long probes,
            long registerCalls,
            long events,
            double firstTriesPerSecond,
            int upstreams,
            int balancers,
            double capacity) {}

    /** Draws a world; {@code observer} receives all that happens in it. */
    public World(WorldPlan plan, long seed, PolicyFactory policyFactory, Observer observer) {
        this.plan = plan;
        this.policyFactory = policyFactory;
        this.observer = observer;
        streams = new RandomStreams(seed);
        randomSeed = streams.seed("chance", 0);
        RandomStream figures = streams.of("world", 0, "figures");
        transport = new MessageTransport(this);
        network = new Network(plan, streams.of("network", 0, "delays"), streams.seed("network", 0));
        WorldPlan.Fleet fleet = plan.fleet();
        connectionsPerCore = fleet.connectionsPerCore().draw(figures);
        keysPerCore = fleet.keysPerCore().draw(figures);
        connectionOverhead = fleet.connectionOverhead().draw(figures);
        handshakeWork = fleet.handshakeWork().draw(figures);
        handshakeRtts = fleet.handshakeRtts().draw(figures);
        keyAffinityGain = fleet.keyAffinityGain().draw(figures);
        keyRetentionMicros = Math.round(fleet.keyRetentionMicros().draw(figures));
        failureDetectionMicros = Math.round(plan.clients().noticeDelay().draw(figures));
        kindSpeed =
                plan.kinds().stream().mapToDouble(k -> k.speed().draw(figures)).toArray();
        dropsCancelled = new boolean[kindSpeed.length];
        for (int i = 0; i < dropsCancelled.length; i++) {
            dropsCancelled[i] = figures.chance(plan.kinds().get(i).cancelDropProbability());
        }
        attemptNoise = plan.classes().stream()
                .mapToDouble(k -> k.attemptNoise().draw(figures))
                .toArray();
        int balancers = Math.max(1, (int) Math.round(plan.balancers().draw(figures)));
        int count = Math.max(0, (int) Math.round(plan.upstreams().draw(figures)));
        double limitedShare = fleet.limitedRacks().draw(figures);
        double rackLimit = fleet.rackLimit().draw(figures);
        build(count, limitedShare, rackLimit);
        discovery = new SimulatedDiscovery(this, streams.of("register", 0, "figures"));
        for (Upstream upstream : upstreams) {
            discovery.addInitial(endpoint(upstream, EndpointState.UP));
        }
        clients = new Clients(this, streams.of("clients", 0, "figures"));
        for (int i = 0; i < balancers; i++) {
            slots.add(new BalancerSlot(i, i % plan.zones().size()));
        }
    }

    private void build(int count, double limitedShare, double rackLimit) {
        RandomStream random = streams.of("fleet", 0, "racks");
        double[] shares =
                plan.kinds().stream().mapToDouble(k -> k.share().draw(random)).toArray();
        double all = 0;
        for (double s : shares) {
            all += s;
        }
        int made = 0;
        while (made < count) {
            int number = racks.size();
            int size = Math.max(1, (int) Math.round(plan.fleet().rackSize().draw(random)));
            Rack rack = new Rack(number, number % plan.zones().size(), random.chance(limitedShare) ? rackLimit : 1);
            racks.add(rack);
            for (int i = 0; i < size && made < count; i++, made++) {
                // Low discrepancy: a fleet of ten has about the stated share of each kind, not a chance one.
                double at = (made + 0.5) * 0.6180339887498949 % 1 * all;
                int kind = 0;
                while (kind < shares.length - 1 && at >= shares[kind]) {
                    at -= shares[kind++];
                }
                start(kind, rack, nextAddress++, 0);
            }
        }
        for (Upstream upstream : upstreams) {
            nominalCapacity += upstream.nominal();
        }
    }

    /** Starts a process; {@code startedAt} 0: long ago. */
    Upstream start(int kind, Rack rack, int address, long startedAt) {
        int number = nextId++;
        String id = String.format("u%04x", number * 40503 + 12345 & 0xffff) + (number > 0xffff ? "x" + number : "");
        return add(new Upstream(
                this, id, address, rack.zone, rack, kind, streams.of("upstream", number, "make"), startedAt));
    }

    /** The same upstream started again, under its id and at its address. */
    Upstream restart(Upstream former, long startedAt) {
        return add(new Upstream(
                this,
                former.id,
                former.address,
                former.zone,
                former.rack,
                former.kindNumber,
                streams.of("upstream again", nextId++, "make"),
                startedAt));
    }

    private Upstream add(Upstream upstream) {
        upstreams.add(upstream);
        addresses.put(upstream.address, upstream);
        addressOf.put(upstream.id, upstream.address);
        byId.put(upstream.id, upstream);
        return upstream;
    }

    void faultIntervals(List<Timeline.FaultInterval> drawn) {
        faultIntervals = List.copyOf(drawn);
    }

    /** The day's faults as they were drawn. */
    public List<Timeline.FaultInterval> faultIntervals() {
        return faultIntervals;
    }

    int addressCount() {
        return nextAddress;
    }

    Upstream upstreamAt(int address) {
        return addresses.get(address);
    }

    /** The upstream that was started under that id; null for ids that never were. */
    Upstream upstreamById(String id) {
        return byId.get(id);
    }

    Integer addressOf(String id) {
        return addressOf.get(id);
    }

    int freshAddress() {
        return nextAddress++;
    }

    Endpoint endpoint(Upstream upstream, EndpointState state) {
        return new Endpoint(
                upstream.id,
                state,
                upstream.reportedStart(),
                1,
                upstream.rack.number,
                upstream.kindNumber,
                upstream.zone);
    }

    /** The process that serves at the address of that id; null for ids that never were. */
    Upstream currentUpstream(String id) {
        Integer address = addressOf.get(id);
        return address == null ? null : addresses.get(address);
    }

    /** The settings of a balancer at its start. */
    PolicySettings settings(int rank, int zone) {
        return settings(rank, zone, plan.rules().maxAttempts());
    }

    /** The same with another number of attempts, at most the plan's. */
    PolicySettings settings(int rank, int zone, int maxAttempts) {
        return WorldSettings.of(this, rank, zone, maxAttempts);
    }

    /** Calls {@code what} after each second of the day. */
    public void everySecond(Runnable what) {
        everySecond = what;
    }

    /** Plays the day to its end. */
    public Costs run() {
        simulation.runUntil(DAY_START);
        for (BalancerSlot slot : slots) {
            startBalancer(slot, null);
        }
        new Timeline(this).install();
        clients.begin();
        long end = DAY_START + plan.length();
        long last = end + MAX_LINGER_MICROS;
        for (long t = DAY_START + SECOND; t <= last; t += SECOND) {
            simulation.runUntil(t);
            for (Balancer balancer : processes) {
                balancer.closeExpiredConnections(t);
            }
            if (t <= end) {
                everySecond.run();
            }
            if (t >= end && clients.open() == 0) {
                break;
            }
        }
        return new Costs(
                offeredWork,
                transport.wastedWork(),
                transport.handshakes(),
                transport.crossings(),
                transport.probes(),
                discovery.calls(),
                simulation.fired(),
                clients.arrivalsPerSecond(),
                upstreams.size(),
                slots.size(),
                nominalCapacity);
    }

    // ---- balancers

    /** Starts a process of that balancer; {@code learnedState} is its predecessor's, or null. */
    Balancer startBalancer(BalancerSlot slot, LearnedState learnedState) {
        int incarnation = slot.nextIncarnation();
        long now = simulation.now();
        LoadBalancingPolicy policy = policyFactory.create(
                settings(slot.rank, slot.zone), streams.seed("balancer", slot.rank * 1000L + incarnation), truth);
        Balancer balancer = new Balancer(this, slot.rank, slot.zone, incarnation, policy);
        processes.removeIf(p -> !p.alive());
        processes.add(balancer);
        slot.serving(balancer);
        balancer.start(discovery.list(), now);
        discovery.balancerStarted(balancer.subscriber);
        if (learnedState != null) {
            policy.restore(now, learnedState);
        }
        return balancer;
    }

    BalancerSlot pickSlot(int zone, double draw) {
        List<BalancerSlot> own = admitted(zone, true);
        List<BalancerSlot> from = own.isEmpty() ? admitted(zone, false) : own;
        return from.isEmpty() ? null : from.get((int) (draw * from.size()));
    }

    private List<BalancerSlot> admitted(int zone, boolean only) {
        List<BalancerSlot> some = new ArrayList<>();
        for (BalancerSlot slot : slots) {
            if (slot.admitted() && (!only || slot.zone == zone)) {
                some.add(slot);
            }
        }
        return some;
    }

    List<Balancer> processes() {
        return processes;
    }

    void log(int rank, String line) {
        if (logLines.size() < 500) {
            logLines.add(String.format(
                    java.util.Locale.ROOT, "%.3f s balancer %d: %s", (simulation.now() - DAY_START) / 1e6, rank, line));
        }
    }

    // ---- what a report shows

    /** Log lines of the policies, the first few hundred. */
    public List<String> logLines() {
        return logLines;
    }

    /** Simulated µs since the day began. */
    public long elapsedMicros() {
        return simulation.now() - DAY_START;
    }

    /** Requests in each upstream that runs or has run, in order of start; -1 for those that have gone. */
    public int[] requestsInFlight() {
        return upstreams.stream()
                .mapToInt(u -> u.alive() ? u.requestsHeld() : -1)
                .toArray();
    }

    /** Ids of the upstreams, in the order of {@link #requestsInFlight}. */
    public List<String> upstreamIds() {
        return upstreams.stream().map(u -> u.id).toList();
    }

    /** When the day began, in simulated µs: times of events are later than this. */
    public static long dayStart() {
        return DAY_START;
    }
}
