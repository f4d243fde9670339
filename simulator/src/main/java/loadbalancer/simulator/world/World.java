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

/** One world, drawn from a plan by a seed. It simulates one day, from the first arrival to the last answer. */
public final class World {
    static final long DAY_START_MICROS = 60_000_000; // not 0, so that start times shortly before the day are positive
    private static final long SECOND_MICROS = 1_000_000;
    private static final int MAX_LOG_LINES = 500;
    private static final long MAX_LINGER_MICROS = 10 * SECOND_MICROS; // after the end of arrivals

    final WorldPlan plan;
    final Simulation simulation = new Simulation();
    final RandomStreams streams;
    final Network network;
    final SimulatedDiscovery discovery;
    final Clients clients;
    final MessageTransport transport;
    final Observer observer;
    final long dayStart = DAY_START_MICROS;
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
    final List<Upstream> upstreams = new ArrayList<>(); // all processes, ended ones too, in order of start
    private final Map<Integer, Upstream> upstreamByAddress = new HashMap<>();
    private final Map<String, Integer> addressById = new HashMap<>();
    private final Map<String, Upstream> upstreamById = new HashMap<>();
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

    /**
     * Totals of a day that the observer doesn't count.
     *
     * @param capacity nominal capacity of the initial fleet, in µs of work per µs
     */
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

    /** Draws a world; {@code observer} receives all of its events. */
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
        kindSpeed = plan.kinds().stream()
                .mapToDouble(kind -> kind.speed().draw(figures))
                .toArray();
        dropsCancelled = new boolean[kindSpeed.length];
        for (int i = 0; i < dropsCancelled.length; i++) {
            dropsCancelled[i] = figures.chance(plan.kinds().get(i).cancelDropProbability());
        }
        attemptNoise = plan.classes().stream()
                .mapToDouble(kind -> kind.attemptNoise().draw(figures))
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
        double[] shares = plan.kinds().stream()
                .mapToDouble(kind -> kind.share().draw(random))
                .toArray();
        double shareSum = 0;
        for (double s : shares) {
            shareSum += s;
        }
        int made = 0;
        while (made < count) {
            int number = racks.size();
            int size = Math.max(1, (int) Math.round(plan.fleet().rackSize().draw(random)));
            Rack rack = new Rack(number, number % plan.zones().size(), random.chance(limitedShare) ? rackLimit : 1);
            racks.add(rack);
            for (int i = 0; i < size && made < count; i++, made++) {
                // A low-discrepancy sequence: even a fleet of ten has about the stated share of each kind, unlike with
                // random draws.
                double at = (made + 0.5) * 0.6180339887498949 % 1 * shareSum;
                int kind = 0;
                while (kind < shares.length - 1 && at >= shares[kind]) {
                    at -= shares[kind++];
                }
                start(kind, rack, nextAddress++, 0);
            }
        }
        for (Upstream upstream : upstreams) {
            nominalCapacity += upstream.nominalCapacity();
        }
    }

    /** Starts an upstream process under a new id; {@code startedAt} is 0 for one that started long ago. */
    Upstream start(int kind, Rack rack, int address, long startedAt) {
        int number = nextId++;
        String id = String.format("u%04x", number * 40503 + 12345 & 0xffff) + (number > 0xffff ? "x" + number : "");
        return add(new Upstream(
                this, id, address, rack.zone, rack, kind, streams.of("upstream", number, "make"), startedAt));
    }

    /** Starts a new process of an upstream under the same id and at the same address. */
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
        upstreamByAddress.put(upstream.address, upstream);
        addressById.put(upstream.id, upstream.address);
        upstreamById.put(upstream.id, upstream);
        return upstream;
    }

    void setFaultIntervals(List<Timeline.FaultInterval> drawn) {
        faultIntervals = List.copyOf(drawn);
    }

    /** The faults drawn for the day. */
    public List<Timeline.FaultInterval> faultIntervals() {
        return faultIntervals;
    }

    int addressCount() {
        return nextAddress;
    }

    Upstream upstreamAt(int address) {
        return upstreamByAddress.get(address);
    }

    /** The latest upstream process that was started under that id; null for an unknown id. */
    Upstream upstreamById(String id) {
        return upstreamById.get(id);
    }

    Integer addressOf(String id) {
        return addressById.get(id);
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

    /** The process that now serves at the address of that id, perhaps under another id; null for an unknown id. */
    Upstream currentUpstream(String id) {
        Integer address = addressById.get(id);
        return address == null ? null : upstreamByAddress.get(address);
    }

    /** The settings of a balancer at its start. */
    PolicySettings settings(int rank, int zone) {
        return settings(rank, zone, plan.rules().maxAttempts());
    }

    /** The settings of a balancer with another maximum of attempts, bounded by the plan's. */
    PolicySettings settings(int rank, int zone, int maxAttempts) {
        return WorldSettings.of(this, rank, zone, maxAttempts);
    }

    /** Sets the callback that runs after each simulated second of the day. */
    public void everySecond(Runnable callback) {
        everySecond = callback;
    }

    /** Simulates the day to its end. */
    public Costs run() {
        simulation.runUntil(DAY_START_MICROS);
        for (BalancerSlot slot : slots) {
            startBalancer(slot, null);
        }
        new Timeline(this).install();
        clients.begin();
        long end = DAY_START_MICROS + plan.length();
        long last = end + MAX_LINGER_MICROS;
        for (long t = DAY_START_MICROS + SECOND_MICROS; t <= last; t += SECOND_MICROS) {
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

    /** Starts a process of that balancer; {@code learnedState} is that of its predecessor, or null. */
    Balancer startBalancer(BalancerSlot slot, LearnedState learnedState) {
        int incarnation = slot.nextIncarnation();
        long now = simulation.now();
        LoadBalancingPolicy policy = policyFactory.create(
                settings(slot.rank, slot.zone), streams.seed("balancer", slot.rank * 1000L + incarnation), truth);
        Balancer balancer = new Balancer(this, slot.rank, slot.zone, incarnation, policy);
        processes.removeIf(p -> !p.alive());
        processes.add(balancer);
        slot.setServing(balancer);
        balancer.start(discovery.list(), now);
        discovery.balancerStarted(balancer.subscriber);
        if (learnedState != null) {
            policy.restore(now, learnedState);
        }
        return balancer;
    }

    /** The admitted balancer that {@code draw}, in [0, 1), selects: one of the zone if it has any; null for none. */
    BalancerSlot pickSlot(int zone, double draw) {
        List<BalancerSlot> sameZone = admitted(zone, true);
        List<BalancerSlot> candidates = sameZone.isEmpty() ? admitted(zone, false) : sameZone;
        return candidates.isEmpty() ? null : candidates.get((int) (draw * candidates.size()));
    }

    private List<BalancerSlot> admitted(int zone, boolean sameZoneOnly) {
        List<BalancerSlot> matching = new ArrayList<>();
        for (BalancerSlot slot : slots) {
            if (slot.admitted() && (!sameZoneOnly || slot.zone == zone)) {
                matching.add(slot);
            }
        }
        return matching;
    }

    List<Balancer> processes() {
        return processes;
    }

    void log(int rank, String line) {
        if (logLines.size() < MAX_LOG_LINES) {
            logLines.add(String.format(
                    java.util.Locale.ROOT,
                    "%.3f s balancer %d: %s",
                    (simulation.now() - DAY_START_MICROS) / 1e6,
                    rank,
                    line));
        }
    }

    // ---- results for reports

    /** The first log lines of the policies, at most 500. */
    public List<String> logLines() {
        return logLines;
    }

    /** Simulated time since the start of the day, in µs. */
    public long elapsedMicros() {
        return simulation.now() - DAY_START_MICROS;
    }

    /** Requests held by each upstream process, in order of start; -1 for those that have ended. */
    public int[] requestsInFlight() {
        return upstreams.stream()
                .mapToInt(u -> u.alive() ? u.requestsHeld() : -1)
                .toArray();
    }

    /** Ids of the upstream processes, in the order of {@link #requestsInFlight}. */
    public List<String> upstreamIds() {
        return upstreams.stream().map(u -> u.id).toList();
    }

    /** Start of the day, in simulated µs; no event of the day is earlier. */
    public static long dayStart() {
        return DAY_START_MICROS;
    }
}
