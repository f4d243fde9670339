package loadbalancer.simulator.world;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.PriorityQueue;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.simulator.engine.RandomStream;
import loadbalancer.simulator.engine.Simulation;

/**
 * One upstream process that serves requests. Requests in its slots share its cores evenly; further requests wait in a
 * queue of fixed capacity, and are rejected when the queue is full.
 *
 * <p>Processor sharing is computed in virtual time, as in fair queueing (Parekh and Gallager): all requests in service
 * progress at the same rate, so each has a fixed virtual end time and only the rate changes. A change is O(log slots).
 */
public final class Upstream {
    private static final long FAILURE_RESPONSE_MICROS = 1_000; // until a failing process responds with an error
    private static final long SLOW_START_STEP_MICROS = 100_000;

    /** The work of one attempt, in µs of a standard core. */
    private static final class Job {
        final Attempt attempt;
        final double work;
        double virtualEnd;

        Job(Attempt attempt, double work) {
            this.attempt = attempt;
            this.work = work;
        }
    }

    final String id;
    final int address;
    final int zone;
    final Rack rack;
    final WorldPlan.Kind kind;
    final int kindNumber;
    final int cores;
    final double speed;
    private final int slots;
    private final int queueCapacity;
    private final int maxConnections;
    private final double crowdingThreshold;
    private final double slowStartInitialWeight;
    private final long slowStartDurationMicros;
    private final double errorFraction;
    private final boolean dropsCancelled;
    private final World world;
    private final PriorityQueue<Job> serving = new PriorityQueue<>((x, y) -> x.virtualEnd != y.virtualEnd
            ? Double.compare(x.virtualEnd, y.virtualEnd)
            : Long.compare(x.attempt.serial, y.attempt.serial));
    private final ArrayDeque<Job> queued = new ArrayDeque<>();
    private final ColdSendLimit coldSends;
    private final KeyCache keys;
    private double virtualTime;
    private double progressRate;
    private long updatedAt;
    private double workDone; // since the start of the process, for slow start
    private Simulation.Timer nextCompletion;
    private int connections;
    private int arriving;
    private double slowdown = 1;
    private double failingFraction;
    private double corruptingFraction;
    private boolean alive = true;
    private boolean silent;
    private boolean overloaded;
    private boolean draining;
    private long startedAt;
    private long reportedStart;

    Upstream(
            World world,
            String id,
            int address,
            int zone,
            Rack rack,
            int kindNumber,
            RandomStream random,
            long startedAt) {
        WorldPlan plan = world.plan;
        this.world = world;
        this.id = id;
        this.address = address;
        this.zone = zone;
        this.rack = rack;
        this.kindNumber = kindNumber;
        this.kind = plan.kinds().get(kindNumber);
        this.cores = kind.cores();
        this.speed = Math.max(
                0.05,
                world.kindSpeed[kindNumber]
                        * (1 + kind.speedVariation().draw(random) * Math.max(-2, Math.min(2, random.gaussian())) / 2));
        this.slots = Math.max(cores, (int) Math.round(kind.slotsPerCore().draw(random) * cores));
        this.queueCapacity = (int) Math.round(kind.queuePerCore().draw(random) * cores);
        this.maxConnections = (int) Math.round(world.connectionsPerCore * cores);
        this.crowdingThreshold = kind.crowdingThreshold().draw(random);
        this.slowStartInitialWeight = kind.slowStartInitialWeight().draw(random);
        this.slowStartDurationMicros = Math.round(kind.slowStartDurationMicros().draw(random));
        this.errorFraction = kind.errorFraction().draw(random);
        this.dropsCancelled = world.dropsCancelled[kindNumber];
        int keyCapacity = (int) Math.round(world.keysPerCore * cores);
        this.keys = new KeyCache(keyCapacity, world.keyRetentionMicros);
        this.coldSends = new ColdSendLimit(plan.rules());
        this.startedAt = startedAt;
        this.reportedStart = startedAt;
        rack.members.add(this);
        if (startedAt > 0) {
            world.simulation.after(SLOW_START_STEP_MICROS, this::slowStartStep);
        }
    }

    // ---- state

    /** The id under which the discovery service lists this upstream. */
    public String id() {
        return id;
    }

    /** The start time that the process reports, in simulated µs; 0 if it started long ago. */
    public long reportedStart() {
        return reportedStart;
    }

    boolean alive() {
        return alive;
    }

    boolean responsive() {
        return alive && !silent;
    }

    boolean silent() {
        return silent;
    }

    boolean draining() {
        return draining;
    }

    boolean overloaded() {
        return overloaded;
    }

    int requestsHeld() {
        return serving.size() + queued.size();
    }

    /** Requests in the process and on their way to it; only the ground truth knows the latter. */
    int requestsHeldOrArriving() {
        return requestsHeld() + arriving;
    }

    void addArriving(int change) {
        arriving += change;
    }

    boolean full() {
        return connections >= maxConnections;
    }

    int connections() {
        return connections;
    }

    void addConnections(int change) {
        connections += change;
    }

    double failingFraction() {
        return failingFraction;
    }

    /** Capacity after slow start and without faults, in standard cores. */
    double nominalCapacity() {
        return cores * speed;
    }

    /** Present capacity without the limit of the rack, in standard cores. */
    double capacity(long now) {
        double connectionFactor =
                1 - world.connectionOverhead * Math.min(1, connections / (double) Math.max(1, maxConnections));
        double excess = Math.max(0, requestsHeld() / (double) cores - crowdingThreshold);
        return nominalCapacity() * slowStartWeight(now) / slowdown * connectionFactor / (1 + kind.crowding() * excess);
    }

    double slowStartWeight(long now) {
        if (startedAt <= 0 || slowStartDurationMicros <= 0) {
            return 1;
        }
        double byTime = (now - startedAt) / (double) slowStartDurationMicros;
        double byWork = kind.warmBy() == WorldPlan.WarmBy.REQUESTS
                ? workDone / (nominalCapacity() * slowStartDurationMicros)
                : 0;
        return Math.min(1, slowStartInitialWeight + (1 - slowStartInitialWeight) * Math.max(byTime, byWork));
    }

    /** Remaining work of all held requests, in µs of a standard core. */
    double backlog(long now) {
        advanceVirtualTime(now);
        double sum = 0;
        for (Job job : serving) {
            sum += Math.max(0, job.virtualEnd - virtualTime);
        }
        for (Job job : queued) {
            sum += job.work;
        }
        return sum;
    }

    double busyCores() {
        return Math.min(cores, serving.size());
    }

    // ---- events

    /** Handles a request that has arrived completely. */
    void accept(Attempt attempt, boolean freshConnection, long now) {
        if (silent) {
            return;
        }
        if (!alive || overloaded) {
            world.transport.reply(attempt, this, AttemptOutcome.RESET, now);
            return;
        }
        RequestWork work = world.transport.workOf(attempt);
        boolean keyCached = keys.use(work.key(), now);
        double totalWork =
                work.work() * (keyCached ? 1 - world.keyAffinityGain : 1) + (freshConnection ? world.handshakeWork : 0);
        recordColdSend(attempt, now);
        if (overloaded) {
            world.transport.reply(attempt, this, AttemptOutcome.RESET, now);
        } else if (draining) {
            world.transport.reply(attempt, this, AttemptOutcome.FULL, now);
        } else if (IndexedRandom.uniform(world.randomSeed, attempt.serial(), 7) < failingFraction + errorFraction) {
            world.simulation.after(FAILURE_RESPONSE_MICROS, t -> {
                if (responsive()) {
                    world.transport.reply(attempt, this, AttemptOutcome.ERROR, t);
                }
            });
        } else if (serving.size() < slots) {
            advanceVirtualTime(now);
            begin(new Job(attempt, totalWork));
            reschedule(now);
        } else if (queued.size() < queueCapacity) {
            queued.add(new Job(attempt, totalWork));
        } else {
            world.transport.reply(attempt, this, AttemptOutcome.FULL, now);
        }
    }

    /** The balancer has given up the attempt: work in service goes on; queued work is dropped in some worlds. */
    void abandon(Attempt attempt) {
        if (dropsCancelled) {
            for (Iterator<Job> i = queued.iterator(); i.hasNext(); ) {
                if (i.next().attempt == attempt) {
                    i.remove();
                    return;
                }
            }
        }
    }

    private void begin(Job job) {
        job.virtualEnd = virtualTime + job.work;
        serving.add(job);
    }

    private void advanceVirtualTime(long now) {
        double progress = progressRate * (now - updatedAt);
        virtualTime += progress;
        workDone += progress * serving.size();
        updatedAt = now;
    }

    /** Recomputes the progress rate and the next completion after a change of load, capacity or a fault. */
    void reschedule(long now) {
        advanceVirtualTime(now);
        rack.changed(this, now);
        recomputeRate(now);
    }

    void recomputeRate(long now) {
        advanceVirtualTime(now);
        int inService = serving.size();
        progressRate =
                inService == 0 ? 0 : capacity(now) / cores * rack.factor() * Math.min(1, cores / (double) inService);
        if (nextCompletion != null) {
            nextCompletion.cancel();
            nextCompletion = null;
        }
        if (inService > 0 && progressRate > 0 && alive && !overloaded) {
            double remainingMicros = Math.max(0, serving.peek().virtualEnd - virtualTime) / progressRate;
            nextCompletion =
                    world.simulation.timer(now + (long) Math.ceil(Math.min(remainingMicros, 1e15)), this::finish);
        }
    }

    private void finish(long now) {
        nextCompletion = null;
        advanceVirtualTime(now);
        Job job = serving.peek();
        if (job != null && job.virtualEnd - virtualTime <= 1e-6 * Math.max(1, job.work) + progressRate) {
            serving.poll();
            world.transport.workDone(job.attempt, job.work);
            if (responsive()) {
                boolean corrupted = IndexedRandom.uniform(world.randomSeed, job.attempt.serial, 8) < corruptingFraction;
                world.transport.reply(job.attempt, this, corrupted ? AttemptOutcome.ERROR : AttemptOutcome.OK, now);
            }
            if (!queued.isEmpty()) {
                begin(queued.poll());
            }
        }
        reschedule(now);
    }

    private void slowStartStep(long now) {
        if (alive && !overloaded && slowStartWeight(now) < 1) {
            reschedule(now);
            world.simulation.after(SLOW_START_STEP_MICROS, this::slowStartStep);
        }
    }

    private void recordColdSend(Attempt attempt, long now) {
        if (slowStartWeight(now) >= 1) {
            coldSends.clear();
            return;
        }
        coldSends.add(now, world.observer.knowsStart(attempt.balancer(), this));
        double maxSends = coldSends.maxSends(capacity(now), world.meanWork);
        world.observer.coldLoad(this, coldSends.size() / maxSends, now);
        if (coldSends.size() > maxSends) {
            overloaded = true;
            world.observer.upstreamOverloaded(this, coldSends.notifiedFraction(), now);
            resetAll(now);
        }
    }

    // ---- effects of faults

    void setSlowdown(double factor, long now) {
        advanceVirtualTime(now);
        slowdown = factor;
        reschedule(now);
    }

    double slowdown() {
        return slowdown;
    }

    void setFailingFraction(double fraction) {
        failingFraction = fraction;
    }

    void setCorruptingFraction(double fraction) {
        corruptingFraction = fraction;
    }

    void startDraining() {
        draining = true;
    }

    /** Shifts the reported start time, as a step of the machine's clock does. */
    void shiftReportedStart(long offsetMicros) {
        reportedStart = Math.max(1, reportedStart + offsetMicros);
    }

    /** Ends the process; its requests are reset at once. */
    void terminate(long now) {
        advanceVirtualTime(now);
        alive = false;
        rack.members.remove(this);
        resetAll(now);
        rack.changed(this, now);
    }

    /** Makes the machine unreachable, or reachable again: while silent, it neither answers nor resets connections. */
    void setSilent(boolean value) {
        silent = value;
    }

    private void resetAll(long now) {
        for (Job job : serving) {
            world.transport.reply(job.attempt, this, AttemptOutcome.RESET, now);
        }
        for (Job job : queued) {
            world.transport.reply(job.attempt, this, AttemptOutcome.RESET, now);
        }
        serving.clear();
        queued.clear();
        keys.clear();
        if (nextCompletion != null) {
            nextCompletion.cancel();
            nextCompletion = null;
        }
    }
}
