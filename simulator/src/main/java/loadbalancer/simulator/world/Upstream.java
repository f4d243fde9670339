package loadbalancer.simulator.world;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.PriorityQueue;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.simulator.engine.RandomStream;
import loadbalancer.simulator.engine.Simulation;

/**
 * One process that serves requests. Those in its slots share its cores evenly; others wait their turn in a room of
 * fixed size, and beyond that are rejected.
 *
 * <p>Sharing is kept in virtual time: all in service progress at one rate, so each has a fixed virtual end and
 * only the rate changes (Parekh and Gallager's idea for fair queueing). A change costs O(log slots).
 */
public final class Upstream {
    private static final long FAILURE_RESPONSE_MICROS = 1_000; // µs that a failing process takes to say so
    private static final long SLOW_START_STEP_MICROS = 100_000;

    /** Work of one attempt. */
    private static final class Job {
        final Attempt attempt;
        final double work;
        double end; // in virtual time

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
    private final PriorityQueue<Job> serving = new PriorityQueue<>(
            (x, y) -> x.end != y.end ? Double.compare(x.end, y.end) : Long.compare(x.attempt.serial, y.attempt.serial));
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final ColdSendLimit coldSends;
    private final KeyCache keys;
    private double virtualTime;
    private double progressRate;
    private long updatedAt;
    private double workDone; // work since the start, for the warm-up
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

    // ---- what others see

    /** Its id, as the discovery service lists it. */
    public String id() {
        return id;
    }

    /** When it says that it started, in simulated µs; 0: long ago. */
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
        return serving.size() + waiting.size();
    }

    /** Requests in it and on their way to it: what only the truth can tell. */
    int requestsHeldOrArriving() {
        return requestsHeld() + arriving;
    }

    void arriving(int change) {
        arriving += change;
    }

    boolean full() {
        return connections >= maxConnections;
    }

    int connections() {
        return connections;
    }

    void connected(int change) {
        connections += change;
    }

    double failingFraction() {
        return failingFraction;
    }

    /** Capacity when warm and well, in standard cores. */
    double nominal() {
        return cores * speed;
    }

    /** What it can do at present, in standard cores, the rack's limit aside. */
    double capacity(long now) {
        double tax = 1 - world.connectionOverhead * Math.min(1, connections / (double) Math.max(1, maxConnections));
        double crowded = Math.max(0, requestsHeld() / (double) cores - crowdingThreshold);
        return nominal() * slowStartWeight(now) / slowdown * tax / (1 + kind.crowding() * crowded);
    }

    double slowStartWeight(long now) {
        if (startedAt <= 0 || slowStartDurationMicros <= 0) {
            return 1;
        }
        double byTime = (now - startedAt) / (double) slowStartDurationMicros;
        double byWork =
                kind.warmBy() == WorldPlan.WarmBy.REQUESTS ? workDone / (nominal() * slowStartDurationMicros) : 0;
        return Math.min(1, slowStartInitialWeight + (1 - slowStartInitialWeight) * Math.max(byTime, byWork));
    }

    /** Work that is in it, in µs of a standard core. */
    double backlog(long now) {
        advanceVirtualTime(now);
        double sum = 0;
        for (Job job : serving) {
            sum += Math.max(0, job.end - virtualTime);
        }
        for (Job job : waiting) {
            sum += job.work;
        }
        return sum;
    }

    double busyCores() {
        return Math.min(cores, serving.size());
    }

    // ---- what happens to it

    /** A whole request has come. */
    void accept(Attempt attempt, boolean freshConnection, long now) {
        if (silent) {
            return;
        }
        if (!alive || overloaded) {
            world.transport.reply(attempt, this, AttemptOutcome.RESET, now);
            return;
        }
        RequestWork work = world.transport.workOf(attempt);
        boolean known = keys.use(work.key(), now);
        double needed =
                work.work() * (known ? 1 - world.keyAffinityGain : 1) + (freshConnection ? world.handshakeWork : 0);
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
            begin(new Job(attempt, needed));
            reschedule(now);
        } else if (waiting.size() < queueCapacity) {
            waiting.add(new Job(attempt, needed));
        } else {
            world.transport.reply(attempt, this, AttemptOutcome.FULL, now);
        }
    }

    /** Nobody waits for that attempt any more: running work goes on, waiting work is dropped at some sites. */
    void abandon(Attempt attempt) {
        if (dropsCancelled) {
            for (Iterator<Job> i = waiting.iterator(); i.hasNext(); ) {
                if (i.next().attempt == attempt) {
                    i.remove();
                    return;
                }
            }
        }
    }

    private void begin(Job job) {
        job.end = virtualTime + job.work;
        serving.add(job);
    }

    private void advanceVirtualTime(long now) {
        double progress = progressRate * (now - updatedAt);
        virtualTime += progress;
        workDone += progress * serving.size();
        updatedAt = now;
    }

    /** What may have changed its rate has changed: the time of the next end is worked out anew. */
    void reschedule(long now) {
        advanceVirtualTime(now);
        rack.changed(this, now);
        recomputeRate(now);
    }

    void recomputeRate(long now) {
        advanceVirtualTime(now);
        int n = serving.size();
        progressRate = n == 0 ? 0 : capacity(now) / cores * rack.factor() * Math.min(1, cores / (double) n);
        if (nextCompletion != null) {
            nextCompletion.cancel();
            nextCompletion = null;
        }
        if (n > 0 && progressRate > 0 && alive && !overloaded) {
            double left = Math.max(0, serving.peek().end - virtualTime) / progressRate;
            nextCompletion = world.simulation.timer(now + (long) Math.ceil(Math.min(left, 1e15)), this::finish);
        }
    }

    private void finish(long now) {
        nextCompletion = null;
        advanceVirtualTime(now);
        Job job = serving.peek();
        if (job != null && job.end - virtualTime <= 1e-6 * Math.max(1, job.work) + progressRate) {
            serving.poll();
            world.transport.workDone(job.attempt, job.work);
            if (responsive()) {
                boolean corrupted = IndexedRandom.uniform(world.randomSeed, job.attempt.serial, 8) < corruptingFraction;
                world.transport.reply(job.attempt, this, corrupted ? AttemptOutcome.ERROR : AttemptOutcome.OK, now);
            }
            if (!waiting.isEmpty()) {
                begin(waiting.poll());
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
            breakAll(now);
        }
    }

    // ---- what faults do to it

    void slowdown(double times, long now) {
        advanceVirtualTime(now);
        slowdown = times;
        reschedule(now);
    }

    double slowdown() {
        return slowdown;
    }

    void failingFraction(double share) {
        failingFraction = share;
    }

    void corruptingFraction(double share) {
        corruptingFraction = share;
    }

    void startDraining() {
        draining = true;
    }

    /** A step of the clock that its start time is taken from. */
    void shiftReportedStart(long by) {
        reportedStart = Math.max(1, reportedStart + by);
    }

    /** The process ends; what it has breaks at once. */
    void terminate(long now) {
        advanceVirtualTime(now);
        alive = false;
        rack.members.remove(this);
        breakAll(now);
        rack.changed(this, now);
    }

    /** The machine vanishes or comes back: open connections stay silent. */
    void setSilent(boolean now) {
        silent = now;
    }

    private void breakAll(long now) {
        for (Job job : serving) {
            world.transport.reply(job.attempt, this, AttemptOutcome.RESET, now);
        }
        for (Job job : waiting) {
            world.transport.reply(job.attempt, this, AttemptOutcome.RESET, now);
        }
        serving.clear();
        waiting.clear();
        keys.clear();
        if (nextCompletion != null) {
            nextCompletion.cancel();
            nextCompletion = null;
        }
    }
}
