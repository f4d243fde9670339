package loadbalancer.simulator.world;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.simulator.engine.RandomStream;
import loadbalancer.simulator.engine.Simulation;

/**
 * One process that serves requests. Those in its slots share its cores evenly; others wait their turn in a room of
 * fixed size, and beyond that are turned away unseen.
 *
 * <p>Sharing is kept in virtual time: all in service progress at one rate, so each has a fixed virtual end and
 * only the rate changes (Parekh and Gallager's idea for fair queueing). A change costs O(log slots).
 */
public final class Upstream {
    private static final long QUICK_FAILURE = 1_000; // µs that a failing process takes to say so
    private static final long RAMP_STEP = 100_000;
    private static final double CHANCE_DEVIATIONS = 2; // of a Poisson count above the cold budget
    private static final double CHANCE_REQUESTS = 2; // and so many more

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

    /** A send that reached a cold process. */
    private record Pressure(long at, boolean told) {}

    final String id;
    final int address;
    final int zone;
    final Rack rack;
    final WorldPlan.Kind kind;
    final int kindNumber;
    final int cores;
    final double speed;
    private final int slots;
    private final int room;
    private final int connectionsMost;
    private final double crowdedAt;
    private final double slowStartInitialWeight;
    private final long coldTime;
    private final double errors;
    private final boolean cancelDrops;
    private final World world;
    private final PriorityQueue<Job> serving = new PriorityQueue<>(
            (x, y) -> x.end != y.end ? Double.compare(x.end, y.end) : Long.compare(x.attempt.serial, y.attempt.serial));
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final ArrayDeque<Pressure> pressure = new ArrayDeque<>();
    private final Map<Integer, Long> keys;
    private double virtual;
    private double rate;
    private long settledAt;
    private double done; // work since the start, for the warm-up
    private Simulation.Timer next;
    private int connections;
    private int coming;
    private double slow = 1;
    private double failing;
    private double spoiling;
    private boolean alive = true;
    private boolean silent;
    private boolean fallen;
    private boolean draining;
    private long startedAt;
    private long saidStart;

    Upstream(
            World world,
            String id,
            int address,
            int zone,
            Rack rack,
            int kindNumber,
            RandomStream draws,
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
                        * (1 + kind.speedVariation().draw(draws) * Math.max(-2, Math.min(2, draws.gaussian())) / 2));
        this.slots = Math.max(cores, (int) Math.round(kind.slotsPerCore().draw(draws) * cores));
        this.room = (int) Math.round(kind.roomPerCore().draw(draws) * cores);
        this.connectionsMost = (int) Math.round(world.connectionsPerCore * cores);
        this.crowdedAt = kind.crowdedAt().draw(draws);
        this.slowStartInitialWeight = kind.slowStartInitialWeight().draw(draws);
        this.coldTime = Math.round(kind.coldTime().draw(draws));
        this.errors = kind.errors().draw(draws);
        this.cancelDrops = world.cancelDrops[kindNumber];
        int keyRoom = (int) Math.round(world.keysPerCore * cores);
        this.keys = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Long> eldest) {
                return size() > keyRoom;
            }
        };
        this.startedAt = startedAt;
        this.saidStart = startedAt;
        rack.members.add(this);
        if (startedAt > 0) {
            world.simulation.after(RAMP_STEP, this::ramp);
        }
    }

    // ---- what others see

    /** Its id, as the register lists it. */
    public String id() {
        return id;
    }

    /** When it says that it started, in simulated µs; 0: long ago. */
    public long saidStart() {
        return saidStart;
    }

    boolean alive() {
        return alive;
    }

    boolean answers() {
        return alive && !silent;
    }

    boolean silent() {
        return silent;
    }

    boolean draining() {
        return draining;
    }

    boolean fallen() {
        return fallen;
    }

    int held() {
        return serving.size() + waiting.size();
    }

    /** Requests in it and on their way to it: what only the truth can tell. */
    int heldOrComing() {
        return held() + coming;
    }

    void coming(int change) {
        coming += change;
    }

    boolean full() {
        return connections >= connectionsMost;
    }

    int connections() {
        return connections;
    }

    void connected(int change) {
        connections += change;
    }

    double failing() {
        return failing;
    }

    /** Capacity when warm and well, in standard cores. */
    double nominal() {
        return cores * speed;
    }

    /** What it can do at present, in standard cores, the rack's limit aside. */
    double capacity(long now) {
        double tax = 1 - world.fullTax * Math.min(1, connections / (double) Math.max(1, connectionsMost));
        double crowded = Math.max(0, held() / (double) cores - crowdedAt);
        return nominal() * warmth(now) / slow * tax / (1 + kind.crowding() * crowded);
    }

    double warmth(long now) {
        if (startedAt <= 0 || coldTime <= 0) {
            return 1;
        }
        double byTime = (now - startedAt) / (double) coldTime;
        double byWork = kind.warmBy() == WorldPlan.WarmBy.REQUESTS ? done / (nominal() * coldTime) : 0;
        return Math.min(1, slowStartInitialWeight + (1 - slowStartInitialWeight) * Math.max(byTime, byWork));
    }

    /** Work that is in it, in µs of a standard core. */
    double backlog(long now) {
        settle(now);
        double sum = 0;
        for (Job j : serving) {
            sum += Math.max(0, j.end - virtual);
        }
        for (Job j : waiting) {
            sum += j.work;
        }
        return sum;
    }

    double busyCores() {
        return Math.min(cores, serving.size());
    }

    // ---- what happens to it

    /** A whole request has come. */
    void accept(Attempt a, boolean freshConnection, long now) {
        if (silent) {
            return;
        }
        if (!alive || fallen) {
            world.reply(a, this, AttemptOutcome.RESET, now);
            return;
        }
        RequestWork work = world.workOf(a);
        boolean known = keyKnown(work.key(), now);
        double needed = work.work() * (known ? 1 - world.keyGain : 1) + (freshConnection ? world.handshakeWork : 0);
        press(a, now);
        if (fallen) {
            world.reply(a, this, AttemptOutcome.RESET, now);
        } else if (draining) {
            world.reply(a, this, AttemptOutcome.FULL, now);
        } else if (IndexedRandom.uniform(world.chanceSeed, a.serial(), 7) < failing + errors) {
            world.simulation.after(QUICK_FAILURE, t -> {
                if (answers()) {
                    world.reply(a, this, AttemptOutcome.ERROR, t);
                }
            });
        } else if (serving.size() < slots) {
            settle(now);
            begin(new Job(a, needed));
            retune(now);
        } else if (waiting.size() < room) {
            waiting.add(new Job(a, needed));
        } else {
            world.reply(a, this, AttemptOutcome.FULL, now);
        }
    }

    private boolean keyKnown(int key, long now) {
        if (key < 0) {
            return false;
        }
        Long met = keys.put(key, now);
        return met != null && now - met <= world.keyRetentionMicros;
    }

    /** Nobody waits for that attempt any more: running work goes on, waiting work is dropped at some sites. */
    void abandon(Attempt a) {
        if (cancelDrops) {
            for (Iterator<Job> i = waiting.iterator(); i.hasNext(); ) {
                if (i.next().attempt == a) {
                    i.remove();
                    return;
                }
            }
        }
    }

    private void begin(Job job) {
        job.end = virtual + job.work;
        serving.add(job);
    }

    private void settle(long now) {
        double progress = rate * (now - settledAt);
        virtual += progress;
        done += progress * serving.size();
        settledAt = now;
    }

    /** What may have changed its rate has changed: the time of the next end is worked out anew. */
    void retune(long now) {
        settle(now);
        rack.changed(this, now);
        speedUp(now);
    }

    void speedUp(long now) {
        settle(now);
        int n = serving.size();
        rate = n == 0 ? 0 : capacity(now) / cores * rack.factor() * Math.min(1, cores / (double) n);
        if (next != null) {
            next.cancel();
            next = null;
        }
        if (n > 0 && rate > 0 && alive && !fallen) {
            double left = Math.max(0, serving.peek().end - virtual) / rate;
            next = world.simulation.timer(now + (long) Math.ceil(Math.min(left, 1e15)), this::finish);
        }
    }

    private void finish(long now) {
        next = null;
        settle(now);
        Job job = serving.peek();
        if (job != null && job.end - virtual <= 1e-6 * Math.max(1, job.work) + rate) {
            serving.poll();
            world.ran(job.attempt, job.work);
            if (answers()) {
                boolean spoilt = IndexedRandom.uniform(world.chanceSeed, job.attempt.serial, 8) < spoiling;
                world.reply(job.attempt, this, spoilt ? AttemptOutcome.ERROR : AttemptOutcome.OK, now);
            }
            if (!waiting.isEmpty()) {
                begin(waiting.poll());
            }
        }
        retune(now);
    }

    private void ramp(long now) {
        if (alive && !fallen && warmth(now) < 1) {
            retune(now);
            world.simulation.after(RAMP_STEP, this::ramp);
        }
    }

    // The rule on cold upstreams: a budget over a window of that length, in requests of mean work, refused ones
    // included. How heavy a request turns out to be is nothing that a balancer could know.
    private void press(Attempt a, long now) {
        if (warmth(now) >= 1) {
            pressure.clear();
            return;
        }
        WorldPlan.Rules rules = world.plan.rules();
        pressure.add(new Pressure(now, world.judge.knowsStart(a.balancer(), this)));
        while (now - pressure.peek().at > rules.fall()) {
            pressure.poll();
        }
        double budget = rules.overloadFactor() * capacity(now) * rules.fall() / world.meanWork;
        double most = budget + CHANCE_DEVIATIONS * Math.sqrt(budget) + CHANCE_REQUESTS;
        world.judge.pressed(this, pressure.size() / most, now);
        if (pressure.size() > most) {
            double told = pressure.stream().filter(Pressure::told).count();
            fallen = true;
            world.judge.fell(this, told / pressure.size(), now);
            breakAll(now);
        }
    }

    // ---- what troubles do to it

    void slow(double times, long now) {
        settle(now);
        slow = times;
        retune(now);
    }

    double slow() {
        return slow;
    }

    void failing(double share) {
        failing = share;
    }

    void spoiling(double share) {
        spoiling = share;
    }

    void drain() {
        draining = true;
    }

    /** A step of the clock that its start time is taken from. */
    void misstate(long by) {
        saidStart = Math.max(1, saidStart + by);
    }

    /** The process ends; what it has breaks at once. */
    void die(long now) {
        settle(now);
        alive = false;
        rack.members.remove(this);
        breakAll(now);
        rack.changed(this, now);
    }

    /** The machine vanishes or comes back: open connections stay silent. */
    void silence(boolean now) {
        silent = now;
    }

    private void breakAll(long now) {
        for (Job j : serving) {
            world.reply(j.attempt, this, AttemptOutcome.RESET, now);
        }
        for (Job j : waiting) {
            world.reply(j.attempt, this, AttemptOutcome.RESET, now);
        }
        serving.clear();
        waiting.clear();
        keys.clear();
        if (next != null) {
            next.cancel();
            next = null;
        }
    }
}
