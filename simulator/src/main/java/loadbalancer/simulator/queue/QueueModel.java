package loadbalancer.simulator.queue;

import java.util.List;
import java.util.stream.IntStream;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.policy.KeyScope;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.LoadReporting;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.SafetyBounds;
import loadbalancer.policy.ServiceObjective;
import loadbalancer.policy.SiteLimits;
import loadbalancer.policy.TrafficCosts;
import loadbalancer.simulator.engine.Event;
import loadbalancer.simulator.engine.RandomStream;
import loadbalancer.simulator.engine.RandomStreams;
import loadbalancer.simulator.engine.Simulation;
import loadbalancer.simulator.policies.Chooser;
import loadbalancer.simulator.policies.Choosers;
import loadbalancer.simulator.policies.NoOpActions;
import loadbalancer.simulator.policies.ServerView;
import loadbalancer.simulator.stats.BatchMeans;

/**
 * The paper's bare model: Poisson arrivals, exponential service, first come first served at each server, one
 * dispatcher that is notified of every job. It runs on the same {@link Simulation} and {@link RandomStream} as the
 * whole service, so what theory says of it checks those too. A unit of time is {@value #UNIT} simulated microseconds.
 *
 * <p>Model and policies: Gardner and Stephens, "Smart Dispatching in Heterogeneous Systems", sections 2 to 4.
 */
public final class QueueModel {
    /** Simulated microseconds in a unit of time. */
    public static final long UNIT = 100_000;

    private static final int BATCHES = 30;
    private static final long FAR = 1_000_000_000_000L; // a deadline that is never met

    /**
     * What to run. {@code lambda} is the arrival rate per server and unit of time; {@code cores} jobs are served
     * at once by a server, each at its rate.
     */
    public record Setting(
            String policy,
            int servers,
            int cores,
            double lambda,
            double fastShare,
            double fastRate,
            double slowRate,
            int sampled,
            int fromAccomplished,
            long jobs,
            long seed) {
        public Setting {
            require(servers > 0, "servers", servers);
            require(cores > 0, "cores", cores);
            require(lambda > 0, "lambda", lambda);
            require(fastShare > 0 && fastShare <= 1, "fast-share", fastShare);
            require(fastRate > 0, "fast-rate", fastRate);
            require(slowRate > 0, "slow-rate", slowRate);
            require(jobs >= BATCHES, "jobs", jobs);
            double capacity = cores * (fastShare * fastRate + (1 - fastShare) * slowRate);
            require(lambda < capacity, "lambda (capacity per server is " + capacity + ")", lambda);
        }

        private static void require(boolean holds, String name, Object value) {
            if (!holds) {
                throw new IllegalArgumentException("impossible " + name + ": " + value);
            }
        }
    }

    /**
     * What came of it. Response times are in units of time; {@code warmUp} jobs at the start don't count.
     * {@code fastIdentified} is the share of the fast servers in the accomplished set, by jobs sent, at the end.
     */
    public record Result(
            Setting setting,
            double meanResponse,
            double ci95,
            double fastIdentified,
            long warmUp,
            long refused,
            long events,
            double seconds) {}

    private final Setting setting;
    private final Simulation simulation = new Simulation();
    private final RandomStream arrivals;
    private final RandomStream services;
    private final RandomStream choices;
    private final Server[] servers;
    private final long warmUp;
    private final BatchMeans responses;
    private final Dispatcher dispatcher;
    private long arrived;
    private long refused;

    private QueueModel(Setting setting) {
        this.setting = setting;
        RandomStreams streams = new RandomStreams(setting.seed);
        arrivals = streams.of("clients", 0, "arrivals");
        services = streams.of("servers", 0, "service");
        choices = streams.of("dispatcher", 0, "choice");
        int fast = (int) Math.round(setting.fastShare * setting.servers);
        servers = IntStream.range(0, setting.servers)
                .mapToObj(i -> new Server(i, i < fast))
                .toArray(Server[]::new);
        warmUp = setting.jobs / 5;
        responses = new BatchMeans((setting.jobs - warmUp) / BATCHES);
        dispatcher = setting.policy.equals("balance")
                ? new ByModule(streams.seed("dispatcher", 0))
                : new ByChooser(Choosers.named(
                        setting.policy,
                        new Choosers.Figures(setting.sampled, setting.fromAccomplished, setting.fastShare)));
    }

    /** Plays {@code setting} to its end. */
    public static Result run(Setting setting) {
        long began = System.nanoTime();
        QueueModel model = new QueueModel(setting);
        model.dispatcher.begin();
        model.simulation.at(0, model::arrive);
        while (model.arrived < setting.jobs || model.busy()) {
            model.simulation.step();
        }
        return new Result(
                setting,
                model.responses.mean(),
                model.responses.halfWidth(),
                model.fastIdentified(),
                model.warmUp,
                model.refused,
                model.simulation.fired(),
                (System.nanoTime() - began) / 1e9);
    }

    private boolean busy() {
        return responses.count() + refused < setting.jobs - warmUp && simulation.waiting() > 0;
    }

    private void arrive(long now) {
        dispatcher.dispatch(arrived++, now);
        if (arrived < setting.jobs) {
            double gap = arrivals.exponential(UNIT / (setting.lambda * servers.length));
            exactTime += gap;
            simulation.at(Math.max(now, Math.round(exactTime)), this::arrive);
        }
    }

    private double exactTime; // gaps of some 100 µs must not all be rounded down

    private double fastIdentified() {
        int fast = (int)
                IntStream.range(0, servers.length).filter(i -> servers[i].fast).count();
        if (fast == 0 || fast == servers.length) {
            return Double.NaN;
        }
        return IntStream.range(0, servers.length)
                        .boxed()
                        .sorted((x, y) -> Long.compare(servers[y].sent, servers[x].sent))
                        .limit(fast)
                        .filter(i -> servers[i].fast)
                        .count()
                / (double) fast;
    }

    /** One server: jobs wait in a ring buffer of their arrival times. */
    private final class Server {
        private final int number;
        private final boolean fast;
        private long sent;
        private int held;
        private int head;
        private long[] jobs = new long[8];
        private long[] since = new long[8];

        Server(int number, boolean fast) {
            this.number = number;
            this.fast = fast;
        }

        double rate() {
            return fast ? setting.fastRate : setting.slowRate;
        }

        void take(long job, long now) {
            if (held == jobs.length) {
                grow();
            }
            int at = (head + held) % jobs.length;
            jobs[at] = job;
            since[at] = now;
            held++;
            sent++;
            if (held <= setting.cores) {
                serve(job, now, now);
            }
        }

        private void grow() {
            long[] moreJobs = new long[2 * held];
            long[] moreSince = new long[2 * held];
            for (int i = 0; i < held; i++) {
                moreJobs[i] = jobs[(head + i) % held];
                moreSince[i] = since[(head + i) % held];
            }
            jobs = moreJobs;
            since = moreSince;
            head = 0;
        }

        private void serve(long job, long arrivedAt, long now) {
            long time = Math.round(services.exponential(UNIT / rate()));
            simulation.at(now + time, end -> done(job, arrivedAt, end));
        }

        // With several cores jobs may end out of order: the ring then holds the waiting ones, and those in
        // service only count.
        private void done(long job, long arrivedAt, long now) {
            if (job >= warmUp) {
                responses.add((now - arrivedAt) / (double) UNIT);
            }
            int next = (head + setting.cores) % jobs.length;
            boolean waiting = held > setting.cores;
            long nextJob = waiting ? jobs[next] : 0;
            long nextSince = waiting ? since[next] : 0;
            head = (head + 1) % jobs.length;
            held--;
            dispatcher.ended(job, this, now - arrivedAt, now);
            if (waiting) {
                serve(nextJob, nextSince, now);
            }
        }
    }

    private interface Dispatcher {
        default void begin() {}

        void dispatch(long job, long now);

        default void ended(long job, Server server, long latency, long now) {}
    }

    private final class ByChooser implements Dispatcher, ServerView {
        private final Chooser chooser;

        ByChooser(Chooser chooser) {
            this.chooser = chooser;
        }

        @Override
        public void dispatch(long job, long now) {
            int chosen = chooser.choose(this, choices);
            chooser.dispatched(chosen);
            servers[chosen].take(job, now);
        }

        @Override
        public int size() {
            return servers.length;
        }

        @Override
        public int queue(int server) {
            return servers[server].held;
        }

        @Override
        public double rate(int server) {
            return servers[server].rate();
        }

        @Override
        public boolean fast(int server) {
            return servers[server].fast;
        }
    }

    /** The program's own policy, told of the fleet without kinds or weights and with deadlines out of reach. */
    private final class ByModule extends NoOpActions implements Dispatcher {
        private final LoadBalancingPolicy policy;

        ByModule(long seed) {
            RequestClass only = new RequestClass(Idempotency.IDEMPOTENT, KeyScope.ALL, 0, FAR / 2, FAR, 0, 1, 1, false);
            policy = new JsqDasPolicy(
                    new PolicySettings(
                            1,
                            0,
                            0,
                            List.of(only),
                            List.of(),
                            1,
                            new ServiceObjective(1, 0, 0, 0),
                            new TrafficCosts(0, 0),
                            false,
                            DiscoveryMode.PUSH,
                            LoadReporting.NONE,
                            false,
                            new SiteLimits(1, false, false, false, UNIT, 0),
                            new SafetyBounds(UNIT, UNIT, 0, 1, 0, 3, UNIT, 0),
                            UNIT / 10),
                    seed);
        }

        @Override
        public void begin() {
            policy.endpoints(
                    0,
                    EndpointListKind.CACHED,
                    IntStream.range(0, servers.length)
                            .mapToObj(i -> new Endpoint(Integer.toString(i), EndpointState.UP, 0, 1, 0, 0, 0))
                            .toList(),
                    this);
        }

        @Override
        public void dispatch(long job, long now) {
            policy.request(now, Long.toString(job), 0, 0, null, FAR, -1, false, this);
        }

        @Override
        public void ended(long job, Server server, long latency, long now) {
            policy.outcome(now, Long.toString(job), 0, AttemptOutcome.OK, latency, true, null, this);
        }

        @Override
        public void send(String request, String server, long timeout) {
            servers[Integer.parseInt(server)].take(Long.parseLong(request), simulation.now());
        }

        @Override
        public void reject(String request, long retryAfter) {
            refused++;
        }

        @Override
        public void fail(String request) {
            refused++;
        }

        @Override
        public void wakeAfter(long delay) {
            Event wake = now -> policy.wake(now, this);
            simulation.after(delay, wake);
        }
    }
}
