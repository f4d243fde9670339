package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.KeyScope;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.LoadReporting;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.SafetyBounds;
import loadbalancer.policy.ServiceObjective;
import loadbalancer.policy.SiteLimits;
import loadbalancer.policy.TenantQuota;
import loadbalancer.policy.TrafficCosts;
import loadbalancer.simulator.engine.RandomStream;
import loadbalancer.simulator.engine.RandomStreams;
import loadbalancer.simulator.engine.Simulation;

/** One world, drawn from a plan by a seed, and its day from the first arrival to the last answer. */
public final class World implements GroundTruth {
    static final long DAY_START = 60_000_000; // µs: start times before the day are positive
    private static final long SECOND = 1_000_000;
    private static final long MAX_LINGER_MICROS = 10 * SECOND; // after the last arrival, at the most
    private static final long NEVER = 1L << 60;

    final WorldPlan plan;
    final Simulation simulation = new Simulation();
    final RandomStreams streams;
    final Network network;
    final SimulatedDiscovery discovery;
    final Clients clients;
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
    private final List<String> logLines = new ArrayList<>();
    private final double[] attemptNoise;
    double nominalCapacity;
    double meanWork;
    double offeredWork;
    private double wastedWork;
    private long handshakes;
    private long crossings;
    private long probes;
    private int nextId;
    private int nextAddress;
    private List<Timeline.FaultInterval> faultIntervals = List.of();
    BiConsumer<Attempt, AttemptOutcome> replyListener; // hears of answers where no balancer of this world does
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

    /** Draws a world; {@code observer} hears of all that happens in it. */
    public World(WorldPlan plan, long seed, PolicyFactory policyFactory, Observer observer) {
        this.plan = plan;
        this.policyFactory = policyFactory;
        this.observer = observer;
        streams = new RandomStreams(seed);
        randomSeed = streams.seed("chance", 0);
        RandomStream figures = streams.of("world", 0, "figures");
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

    /** The day's troubles as they were drawn. */
    public List<Timeline.FaultInterval> faultIntervals() {
        return faultIntervals;
    }

    int addressCount() {
        return nextAddress;
    }

    Upstream upstreamAt(int address) {
        return addresses.get(address);
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

    /** What a module is told at its start. */
    PolicySettings settings(int rank, int zone) {
        return settings(rank, zone, plan.rules().maxAttempts());
    }

    /** The same with another number of attempts, at most the plan's. */
    PolicySettings settings(int rank, int zone, int attempts) {
        WorldPlan.Rules rules = plan.rules();
        List<RequestClass> kinds = plan.classes().stream()
                .map(k -> new RequestClass(
                        k.effect(),
                        KeyScope.ALL,
                        5 * SECOND,
                        k.latencyObjectiveMicros(),
                        k.deadline(),
                        0,
                        k.priorityWeight(),
                        k.lateFraction(),
                        false,
                        false,
                        Set.of(),
                        Set.of()))
                .toList();
        List<TenantQuota> tenants = new ArrayList<>();
        for (double a : clients.allowances) {
            tenants.add(new TenantQuota(Math.round(a)));
        }
        double slowStartInitialWeight = plan.kinds().stream()
                .mapToDouble(k -> k.slowStartInitialWeight().min())
                .min()
                .orElse(1);
        double ramp = plan.kinds().stream()
                .mapToDouble(k -> k.slowStartDurationMicros().max())
                .max()
                .orElse(0);
        WorldPlan.Goal goal = plan.goal();
        return new PolicySettings(
                slots.size(),
                rank,
                zone,
                kinds,
                tenants,
                0.1,
                new ServiceObjective(goal.whole(), goal.worstWindow(), goal.worstClass(), goal.worstTenant()),
                new TrafficCosts(plan.prices().crossZone(), plan.prices().handshake()),
                false,
                plan.discovery().ask() ? DiscoveryMode.POLL : DiscoveryMode.PUSH,
                LoadReporting.NONE,
                keyAffinityGain > 0 && plan.load().keys().max() > 0,
                new SiteLimits(
                        Math.min(attempts, rules.maxAttempts()),
                        rules.hedgingAllowed(),
                        rules.cancel(),
                        rules.probes(),
                        plan.fleet().connectTimeoutMicros(),
                        rules.maxRetryAfterMicros()),
                new SafetyBounds(
                        rules.responseSlackMicros(),
                        rules.drainGracePeriodMicros(),
                        rules.pollIntervalMicros(),
                        Math.max(0.01, Math.min(1, slowStartInitialWeight)),
                        Math.round(ramp),
                        rules.overloadFactor(),
                        rules.overloadWindowMicros(),
                        0),
                5_000);
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
                wastedWork,
                handshakes,
                crossings,
                probes,
                discovery.calls(),
                simulation.fired(),
                clients.arrivalsPerSecond(),
                upstreams.size(),
                slots.size(),
                nominalCapacity);
    }

    // ---- balancers

    /** Starts a process of that balancer, with the list as {@code former} or the register last had it. */
    Balancer startBalancer(BalancerSlot slot, Map<String, double[]> learnedState) {
        int incarnation = slot.nextIncarnation();
        long now = simulation.now();
        LoadBalancingPolicy policy = policyFactory.create(
                settings(slot.rank, slot.zone), streams.seed("balancer", slot.rank * 1000L + incarnation), this);
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

    // ---- messages

    RequestWork workOf(Attempt attempt) {
        ClientRequest request = attempt.request().clientRequest();
        double noise = attemptNoise[request.kind];
        double variance = StrictMath.log(1 + noise * noise);
        double times = noise <= 0
                ? 1
                : StrictMath.exp(
                        Math.sqrt(variance) * IndexedRandom.gaussian(randomSeed, attempt.serial, 11) - variance / 2);
        return new RequestWork(request.work * times, request.key);
    }

    /** Carries an attempt to its upstream, over a new connection where {@code newConnection}. */
    void deliver(Attempt attempt, boolean newConnection, long now) {
        Upstream upstream = attempt.upstream;
        Balancer balancer = attempt.balancer();
        crossings += balancer.zone != upstream.zone ? 1 : 0;
        boolean blocked = blocked(balancer, upstream);
        long requestDelay = network.between(balancer.zone, upstream.zone, attempt.serial, 0);
        long handshakeDelay = 0;
        if (newConnection) {
            handshakes++;
            long connect = plan.fleet().connectTimeoutMicros();
            long round = network.between(balancer.zone, upstream.zone, attempt.serial, 2)
                    + network.between(upstream.zone, balancer.zone, attempt.serial, 3);
            if (blocked || !upstream.alive() || upstream.overloaded() || upstream.full() || round > connect) {
                long outcomeDelay = blocked ? connect : Math.min(round, connect);
                simulation.after(outcomeDelay, at -> balancer.outcome(attempt, AttemptOutcome.CONNECT_FAILED, at));
                return;
            }
            upstream.connected(1);
            handshakeDelay = Math.round(round * handshakeRtts);
        }
        if (!blocked) {
            upstream.arriving(1);
            simulation.after(handshakeDelay + requestDelay, at -> {
                upstream.arriving(-1);
                if (!blocked(balancer, upstream)) {
                    upstream.accept(attempt, newConnection, at);
                }
            });
        }
    }

    private boolean blocked(Balancer balancer, Upstream upstream) {
        return upstream.silent()
                || network.cut(balancer.zone, upstream.zone)
                || network.cut(upstream.zone, balancer.zone);
    }

    /** An upstream's word on an attempt travels back. */
    void reply(Attempt attempt, Upstream upstream, AttemptOutcome outcome, long now) {
        if (replyListener != null) {
            replyListener.accept(attempt, outcome);
            return;
        }
        Balancer balancer = attempt.balancer();
        if (network.cut(upstream.zone, balancer.zone)) {
            return;
        }
        simulation.after(
                network.between(upstream.zone, balancer.zone, attempt.serial, 1),
                at -> balancer.outcome(attempt, outcome, at));
    }

    /** An upstream has done that work; nobody may want it any more. */
    void workDone(Attempt attempt, double work) {
        if (!attempt.inFlight() || attempt.request().clientGone || attempt.request().answered) {
            wastedWork += work;
        }
    }

    void probe(Balancer balancer, String id, Upstream upstream, long now) {
        probes++;
        long round = network.mean(balancer.zone, upstream.zone) + network.mean(upstream.zone, balancer.zone);
        boolean lost = blocked(balancer, upstream);
        long outcomeDelay = lost ? plan.fleet().connectTimeoutMicros() : round;
        AttemptOutcome outcome = lost
                ? AttemptOutcome.TIMEOUT
                : !upstream.alive() || upstream.overloaded() ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK;
        simulation.after(outcomeDelay, at -> balancer.probeEnded(id, outcome, outcomeDelay, at));
    }

    void log(int rank, String line) {
        if (logLines.size() < 500) {
            logLines.add(String.format(
                    java.util.Locale.ROOT, "%.3f s balancer %d: %s", (simulation.now() - DAY_START) / 1e6, rank, line));
        }
    }

    // ---- what a report shows

    /** Log lines of the modules, the first few hundred. */
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

    // ---- truth

    @Override
    public double responseTimeMicros(String upstream, int zone) {
        Upstream u = currentUpstream(upstream);
        if (u == null
                || !u.responsive()
                || u.overloaded()
                || u.draining()
                || network.cut(zone, u.zone)
                || network.cut(u.zone, zone)) {
            return NEVER;
        }
        long now = simulation.now();
        double capacity = u.capacity(now) * (u.rack.limited() ? u.rack.factor() : 1);
        double share = capacity / u.cores;
        double serve = meanWork / share * Math.max(1, (u.requestsHeldOrArriving() + 1) / (double) u.cores);
        double cold = u.slowStartWeight(now) < 1 ? 2 - u.slowStartWeight(now) : 1;
        double time = 2.0 * network.mean(zone, u.zone) + serve * cold;
        return u.failingFraction() > 0 ? time * (1 + 50 * u.failingFraction()) : time;
    }

    @Override
    public double nominalCapacity(String upstream) {
        Upstream u = byId.get(upstream);
        return u == null ? 1 : u.nominal();
    }

    @Override
    public boolean isFast(String upstream) {
        Upstream u = byId.get(upstream);
        double mean = 0;
        for (double s : kindSpeed) {
            mean += s / kindSpeed.length;
        }
        return u != null && kindSpeed[u.kindNumber] > mean;
    }

    @Override
    public double slowStartWeight(String upstream) {
        Upstream u = currentUpstream(upstream);
        return u == null ? 1 : u.slowStartWeight(simulation.now());
    }
}
