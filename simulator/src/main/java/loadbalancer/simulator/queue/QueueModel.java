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
 * The queueing model of the paper: Poisson arrivals, exponential service times, first come first served at each server,
 * and one dispatcher that is notified of every job. It uses the same {@link Simulation} and {@link RandomStream} as the
 * simulator of the whole service, so a comparison with theory also checks those. A unit of time is {@value #UNIT}
 * simulated microseconds.
 *
 * <p>Model and policies: Gardner and Stephens, "Smart Dispatching in Heterogeneous Systems", sections 2 to 4.
 */
public final class QueueModel {
    /** Simulated microseconds per unit of time. */
    public static final long UNIT = 100_000;

    private static final int BATCHES = 30;
    private static final long UNREACHABLE_DEADLINE_MICROS = 1_000_000_000_000L; // longer than any run

    /**
     * Parameters of a run. {@code lambda} is the arrival rate per server and unit of time. A server serves
     * {@code cores} jobs at once, each at the rate of the server.
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

        private static void require(boolean valid, String name, Object value) {
            if (!valid) {
                throw new IllegalArgumentException("impossible " + name + ": " + value);
            }
        }
    }

    /**
     * Result of a run. Response times are in units of time and leave out the first {@code warmUp} jobs.
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
                ? new PolicyDispatcher(streams.seed("dispatcher", 0))
                : new ChooserDispatcher(Choosers.named(
                        setting.policy,
                        new Choosers.Figures(setting.sampled, setting.fromAccomplished, setting.fastShare)));
    }

    /** Runs the model until all jobs have arrived and completed or been rejected, or until no event is left. */
    public static Result run(Setting setting) {
        long startNanos = System.nanoTime();
        QueueModel model = new QueueModel(setting);
        model.dispatcher.begin();
        model.simulation.at(0, model::arrive);
        while (model.arrived < setting.jobs || model.hasOpenJobs()) {
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
                (System.nanoTime() - startNanos) / 1e9);
    }

    private boolean hasOpenJobs() {
        return responses.count() + refused < setting.jobs - warmUp && simulation.waiting() > 0;
    }

    private void arrive(long now) {
        dispatcher.dispatch(arrived++, now);
        if (arrived < setting.jobs) {
            double gapMicros = arrivals.exponential(UNIT / (setting.lambda * servers.length));
            exactArrivalMicros += gapMicros;
            simulation.at(Math.max(now, Math.round(exactArrivalMicros)), this::arrive);
        }
    }

    private double exactArrivalMicros; // unrounded: rounding each gap of some 100 µs down would add up

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

    /** One server. Its jobs and their arrival times are kept in ring buffers. */
    private final class Server {
        private final int number;
        private final boolean fast;
        private long sent;
        private int jobCount;
        private int head;
        private long[] jobNumbers = new long[8];
        private long[] arrivalTimes = new long[8];

        Server(int number, boolean fast) {
            this.number = number;
            this.fast = fast;
        }

        double rate() {
            return fast ? setting.fastRate : setting.slowRate;
        }

        void enqueue(long job, long now) {
            if (jobCount == jobNumbers.length) {
                grow();
            }
            int slot = (head + jobCount) % jobNumbers.length;
            jobNumbers[slot] = job;
            arrivalTimes[slot] = now;
            jobCount++;
            sent++;
            if (jobCount <= setting.cores) {
                serve(job, now, now);
            }
        }

        private void grow() {
            long[] largerJobNumbers = new long[2 * jobCount];
            long[] largerArrivalTimes = new long[2 * jobCount];
            for (int i = 0; i < jobCount; i++) {
                largerJobNumbers[i] = jobNumbers[(head + i) % jobCount];
                largerArrivalTimes[i] = arrivalTimes[(head + i) % jobCount];
            }
            jobNumbers = largerJobNumbers;
            arrivalTimes = largerArrivalTimes;
            head = 0;
        }

        private void serve(long job, long arrivedAt, long now) {
            long serviceMicros = Math.round(services.exponential(UNIT / rate()));
            simulation.at(now + serviceMicros, end -> complete(job, arrivedAt, end));
        }

        // With several cores jobs may complete out of order. The entries of jobs in service then only count as
        // occupied; the entries of waiting jobs stay exact.
        private void complete(long job, long arrivedAt, long now) {
            if (job >= warmUp) {
                responses.add((now - arrivedAt) / (double) UNIT);
            }
            int next = (head + setting.cores) % jobNumbers.length;
            boolean waiting = jobCount > setting.cores;
            long nextJob = waiting ? jobNumbers[next] : 0;
            long nextArrival = waiting ? arrivalTimes[next] : 0;
            head = (head + 1) % jobNumbers.length;
            jobCount--;
            dispatcher.completed(job, this, now - arrivedAt, now);
            if (waiting) {
                serve(nextJob, nextArrival, now);
            }
        }
    }

    private interface Dispatcher {
        default void begin() {}

        void dispatch(long job, long now);

        default void completed(long job, Server server, long latency, long now) {}
    }

    private final class ChooserDispatcher implements Dispatcher, ServerView {
        private final Chooser chooser;

        ChooserDispatcher(Chooser chooser) {
            this.chooser = chooser;
        }

        @Override
        public void dispatch(long job, long now) {
            int chosen = chooser.choose(this, choices);
            chooser.dispatched(chosen);
            servers[chosen].enqueue(job, now);
        }

        @Override
        public int size() {
            return servers.length;
        }

        @Override
        public int queue(int server) {
            return servers[server].jobCount;
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

    /** Runs the balancer's own policy, which is given no server kinds or weights, and deadlines that no job reaches. */
    private final class PolicyDispatcher extends NoOpActions implements Dispatcher {
        private final LoadBalancingPolicy policy;

        PolicyDispatcher(long seed) {
            RequestClass requestClass = new RequestClass(
                    Idempotency.IDEMPOTENT,
                    KeyScope.ALL,
                    0,
                    UNREACHABLE_DEADLINE_MICROS / 2,
                    UNREACHABLE_DEADLINE_MICROS,
                    0,
                    1,
                    1,
                    false);
            policy = new JsqDasPolicy(
                    new PolicySettings(
                            1,
                            0,
                            0,
                            List.of(requestClass),
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
            policy.request(now, Long.toString(job), 0, 0, null, UNREACHABLE_DEADLINE_MICROS, -1, false, this);
        }

        @Override
        public void completed(long job, Server server, long latency, long now) {
            policy.outcome(now, Long.toString(job), 0, AttemptOutcome.OK, latency, true, null, this);
        }

        @Override
        public void send(String request, String server, long timeout) {
            servers[Integer.parseInt(server)].enqueue(Long.parseLong(request), simulation.now());
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
