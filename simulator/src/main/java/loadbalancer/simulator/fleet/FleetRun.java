package loadbalancer.simulator.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import loadbalancer.simulator.sockets.BalancerChildProcess;
import loadbalancer.simulator.sockets.Load;
import org.HdrHistogram.Histogram;

/**
 * One fleet at one size, from its start to its end: start in two halves (for the heap of one balancer), a time in which
 * nothing changes, churn, and where the plan says so a joint restart and an outage of discovery.
 */
final class FleetRun {
    /** Listeners that stand for all upstreams. */
    static final int LISTENERS = 4;
    /** What else runs on the machine: no figure of the program. */
    static final String LOAD = "load_average_processes";

    private static final double MB = 1 << 20;
    private static final double MS = 1e6;
    private static final long POLL_NS = 2_000_000;
    private static final int WARM = 4;
    private static final int SEEN = 2_500; // entries: the heap of fewer is lost in what else changes
    private static final int PLAIN = 200; // watches without a balancer, for the stand-in's own heap
    private static final long CALM_US = 5_000_000; // of load straight at upstreams, to be compared with
    // What a size needs, from what trials gave, with some on top (docs/design/fleet-runs.md).
    private static final long BASE_BYTES = 300L << 20;
    private static final long BALANCER_BYTES = 150_000;
    private static final long HELD_BYTES = 1_500; // of one upstream in one balancer
    private static final long LISTED_BYTES = 1_000; // of one upstream in the stand-in
    private static final int DESCRIPTORS_EACH = 6; // both ends of a watch, of a call, and of those that close
    private static final int DESCRIPTORS_BASE = 500;

    private final FleetPlan plan;
    private final Path root;
    private final Map<String, Double> figures = new TreeMap<>();
    private final List<String> missed = new ArrayList<>();
    private boolean listed; // all have their first list

    /** {@code root}: of the project, for the run line. */
    FleetRun(FleetPlan plan, Path root) {
        this.plan = plan;
        this.root = root;
    }

    static Need need(FleetPlan plan) {
        long b = plan.fleet().balancers();
        long u = plan.fleet().upstreams();
        return new Need(
                BASE_BYTES
                        + b * (BALANCER_BYTES + u * HELD_BYTES)
                        + u * LISTED_BYTES
                        + plan.fleet().real() * Host.REAL_BYTES,
                plan.fleet().real(),
                (int) Math.min(Integer.MAX_VALUE, DESCRIPTORS_BASE + b * DESCRIPTORS_EACH));
    }

    /** Plays it. */
    ScalePoint play(String axis, long size) throws IOException, InterruptedException {
        figures.put(LOAD, Host.load());
        try (QuickUpstream upstream = new QuickUpstream(LISTENERS)) {
            Machines machines = new Machines(
                    plan.fleet().upstreams(), plan.fleet().zones(), plan.fleet().rackSize(), upstream.endpoints());
            try (StandInDiscovery discovery = new StandInDiscovery(machines.all(), plan.discovery());
                    HollowFleet fleet = new HollowFleet(plan, discovery);
                    RealBalancers real = plan.fleet().real() > 0 ? new RealBalancers(root) : null) {
                figures.put("list_bytes", (double) discovery.listBytes());
                listed = start(discovery, fleet);
                List<BalancerChildProcess> processes = real == null ? List.of() : start(real, discovery, machines);
                idle(discovery, fleet, processes);
                churn(discovery, fleet, processes, machines, upstream.addresses());
                if (plan.restart() != null) {
                    restart(discovery, fleet);
                }
                if (plan.outage() != null) {
                    outage(discovery, fleet, machines);
                }
                for (BalancerChildProcess process : processes) {
                    complaints(process, "a real balancer", missed);
                    if (!process.alive()) {
                        missed.add("a real balancer ended during the run");
                    }
                }
            }
        }
        return new ScalePoint(axis, size, figures, missed);
    }

    /** What a balancer said of lists that it could not read, once. */
    static void complaints(BalancerChildProcess process, String who, List<String> missed) {
        List<String> said =
                process.log().stream().filter(l -> l.contains("can't be read")).toList();
        if (!said.isEmpty()) {
            missed.add(who + " said " + said.size() + " times, last: " + said.get(said.size() - 1));
        }
    }

    // ---- the start

    private boolean start(StandInDiscovery discovery, HollowFleet fleet) throws IOException, InterruptedException {
        int all = plan.fleet().balancers();
        warmUp(discovery);
        double ofWatch = plainWatches(discovery);
        double before = Clocks.retained();
        int half = Math.max(1, all / 2);
        discovery.forgetPeak();
        StandInDiscovery.Counts counts = discovery.counts();
        long began = System.nanoTime();
        fleet.add(half);
        boolean have = reached(fleet, half, discovery.rev(), "the first list");
        double atHalf = Clocks.retained();
        long again = System.nanoTime();
        if (all > half) {
            fleet.add(all - half);
            have &= reached(fleet, all, discovery.rev(), "the first list");
        }
        double millis = (have ? System.nanoTime() - again : Double.NaN) / MS;
        StandInDiscovery.Counts start = discovery.counts().since(counts);
        figures.put("start_calls_count", (double) start.calls());
        figures.put("start_seconds_s", (System.nanoTime() - began) / 1e9);
        if (have) {
            figures.put("start_half_listed_ms", millis);
        }
        int more = all > half ? all - half : half;
        double each = (Clocks.retained() - (all > half ? atHalf : before)) / more - ofWatch;
        figures.put("heap_per_watch_of_discovery_bytes", ofWatch);
        if (have && (long) more * plan.fleet().upstreams() >= SEEN) {
            figures.put("heap_per_balancer_bytes", each);
        }
        if (have) {
            figures.put("entries_held_count", (double)
                    fleet.up().stream().mapToInt(Integer::intValue).sum());
        }
        Tally tally = fleet.tally();
        if (tally.unread > 0) {
            missed.add("hollow balancers could not read " + tally.unread + " lists, last: " + tally.complaint);
        }
        return have;
    }

    // Classes that a first balancer loads, and threads that it wakes, are no heap of the next.
    private void warmUp(StandInDiscovery discovery) throws InterruptedException {
        try (HollowFleet first = new HollowFleet(plan, discovery)) {
            int few = Math.min(WARM, plan.fleet().balancers());
            first.add(few);
            await(() -> first.at(discovery.rev()) >= few, plan.fleet().reach());
        }
        await(() -> discovery.watches() == 0, plan.fleet().reach());
    }

    // Heap of the stand-in's side of a watch, with a bare socket on the other.
    private static double plainWatches(StandInDiscovery discovery) throws IOException, InterruptedException {
        int many = PLAIN;
        double before = Clocks.retained();
        List<SocketChannel> open = new ArrayList<>();
        byte[] ask = ("GET /api/targets?watch=1&from=" + discovery.rev() + " HTTP/1.1\r\nHost: h\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        try {
            for (int i = 0; i < many; i++) {
                SocketChannel channel = SocketChannel.open(discovery.address());
                open.add(channel);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                channel.write(ByteBuffer.wrap(ask));
            }
            await(() -> discovery.watches() >= many, 30_000_000);
            return Math.max(0, (Clocks.retained() - before) / many);
        } finally {
            for (SocketChannel channel : open) {
                channel.close();
            }
            await(() -> discovery.watches() == 0, 30_000_000);
        }
    }

    private boolean reached(HollowFleet fleet, int many, long rev, String what) throws InterruptedException {
        boolean all = await(() -> fleet.at(rev) >= many, plan.fleet().reach());
        if (!all) {
            missed.add(what + ": " + fleet.at(rev) + " of " + many + " hollow balancers have it after "
                    + plan.fleet().reach() / 1_000_000 + " s");
        }
        return all;
    }

    private static boolean await(BooleanSupplier condition, long micros) throws InterruptedException {
        long until = System.nanoTime() + micros * 1_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until) {
                return false;
            }
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            LockSupport.parkNanos(POLL_NS);
        }
        return true;
    }

    private List<BalancerChildProcess> start(RealBalancers real, StandInDiscovery discovery, Machines machines)
            throws IOException {
        List<BalancerChildProcess> all = new ArrayList<>();
        int many = plan.fleet().balancers() + plan.fleet().real();
        for (int i = 0; i < plan.fleet().real(); i++) {
            RealBalancers.Start start = real.start(Site.config(
                    plan.fleet(),
                    plan.fleet().balancers() + i,
                    many,
                    discovery.address().getPort(),
                    machines.known(discovery.rev())));
            if (start.process() == null) {
                missed.add("a real balancer "
                        + (start.exitCode() < 0
                                ? "was not ready after 30 s"
                                : "ended with exit code " + start.exitCode()));
                figures.put("real_exit_code", (double) start.exitCode());
            } else {
                all.add(start.process());
                figures.merge("real_ready_ms", start.millis(), Math::max);
            }
        }
        return all;
    }

    // ---- windows of figures

    /** What stands at the beginning of a window. */
    private record Mark(
            long at,
            StandInDiscovery.Counts counts,
            double hollow,
            double standIn,
            double process,
            double real,
            double allocated,
            double collected) {}

    private static Mark mark(StandInDiscovery discovery, HollowFleet fleet, List<BalancerChildProcess> real) {
        return new Mark(
                System.nanoTime(),
                discovery.counts(),
                Clocks.cpu(fleet.threads()),
                Clocks.cpu(List.of(discovery.thread())),
                Clocks.process(),
                real.stream().mapToDouble(p -> Host.cpu(p.pid())).sum(),
                Clocks.allocated(fleet.threads()),
                Clocks.collected());
    }

    // What a fleet without its list costs is another figure, and no line goes through both.
    private StandInDiscovery.Counts figure(String name, Mark from, Mark to) {
        String window = (listed ? "" : "unlisted_") + name;
        double seconds = (to.at - from.at) / 1e9;
        int many = plan.fleet().balancers();
        StandInDiscovery.Counts counts = to.counts.since(from.counts);
        figures.put(
                window + "_received_per_watch_bytes_per_s",
                counts.bytesOut() / seconds / (many + plan.fleet().real()));
        figures.put(
                window + "_messages_per_watch_per_s",
                counts.messages() / seconds / (many + plan.fleet().real()));
        figures.put(window + "_cpu_per_balancer_percent", (to.hollow - from.hollow) / seconds / many * 100);
        figures.put(
                window + "_loops_busy_percent",
                (to.hollow - from.hollow) / seconds / plan.fleet().loops() * 100);
        figures.put(window + "_allocated_per_balancer_bytes_per_s", (to.allocated - from.allocated) / seconds / many);
        figures.put(window + "_stood_still_ms", to.collected - from.collected);
        figures.put(window + "_discovery_cpu_percent", (to.standIn - from.standIn) / seconds * 100);
        // Garbage collection, compilation, and where there is load its clients and upstreams.
        figures.put(
                window + "_other_cpu_percent",
                (to.process - from.process - (to.hollow - from.hollow) - (to.standIn - from.standIn)) / seconds * 100);
        return counts;
    }

    private void idle(StandInDiscovery discovery, HollowFleet fleet, List<BalancerChildProcess> real)
            throws InterruptedException {
        fleet.begin();
        Mark from = mark(discovery, fleet, real);
        TimeUnit.MICROSECONDS.sleep(plan.fleet().idle());
        Mark to = mark(discovery, fleet, real);
        figure("idle", from, to);
        if (!real.isEmpty()) {
            figures.put("real_idle_cpu_percent", (to.real - from.real) / ((to.at - from.at) / 1e9) / real.size() * 100);
        }
    }

    private void churn(
            StandInDiscovery discovery,
            HollowFleet fleet,
            List<BalancerChildProcess> real,
            Machines machines,
            List<InetSocketAddress> upstreams)
            throws InterruptedException {
        double retained = Clocks.retained();
        double calm = real.isEmpty() ? 0 : load(upstreams, CALM_US);
        fleet.begin();
        Mark from = mark(discovery, fleet, real);
        Publisher publisher = new Publisher(discovery, machines, plan.churn(), plan.seed());
        double churned = 0;
        try (publisher) {
            publisher.start(plan.fleet().length());
            if (real.isEmpty()) {
                TimeUnit.MICROSECONDS.sleep(plan.fleet().length());
            } else {
                churned = load(
                        real.stream().map(BalancerChildProcess::address).toList(),
                        plan.fleet().length());
            }
            await(publisher::over, plan.fleet().length());
        }
        boolean all = reached(fleet, fleet.size(), discovery.rev(), "the last change");
        Mark to = mark(discovery, fleet, real);
        StandInDiscovery.Counts counts = figure("churn", from, to);
        Tally tally = fleet.tally();
        int changes = publisher.published();
        figures.put("heap_more_after_churn_per_balancer_bytes", (Clocks.retained() - retained) / fleet.size());
        figures.put("changes_count", (double) changes);
        figures.put("published_late_most_ms", publisher.lateMicros() / 1e3);
        figures.put("changed_entries_count", (double) publisher.entries());
        if (changes > 0 && listed) {
            double pairs = (double) changes * fleet.size();
            double idle = figures.get("idle_cpu_per_balancer_percent") / 100 * fleet.size() * (to.at - from.at) / 1e9;
            figures.put("cpu_per_change_us", Math.max(0, to.hollow - from.hollow - idle) * 1e6 / pairs);
            figures.put("allocated_per_change_bytes", (to.allocated - from.allocated) / pairs);
            figures.put("line_per_change_bytes", counts.bytesOut() / pairs);
            inForce("in_force", tally.inForce);
            figures.put("in_force_pairs_count", (double) tally.inForce.getTotalCount());
            if (all && tally.inForce.getTotalCount() != Math.round(pairs)) {
                missed.add("changes in force: " + tally.inForce.getTotalCount() + " of " + Math.round(pairs));
            }
        }
        figures.put("decisions_count", (double) tally.decided);
        if (tally.refused > 0) {
            missed.add(tally.refused + " of " + (tally.refused + tally.decided) + " decisions were refusals");
        }
        if (!real.isEmpty()) {
            figures.put(
                    "real_churn_cpu_percent", (to.real - from.real) / ((to.at - from.at) / 1e9) / real.size() * 100);
            figures.put("real_straight_p99_ms", calm);
            figures.put("real_p99_ms", churned);
            figures.put("real_added_p99_ms", churned - calm);
            figures.put(
                    "real_rss_most_mb",
                    real.stream()
                                    .mapToDouble(p -> Host.status(p.pid(), "VmRSS"))
                                    .max()
                                    .orElse(Double.NaN)
                            / MB);
            figures.put(
                    "real_hwm_most_mb",
                    real.stream()
                                    .mapToDouble(p -> Host.status(p.pid(), "VmHWM"))
                                    .max()
                                    .orElse(Double.NaN)
                            / MB);
        }
    }

    private void inForce(String name, Histogram histogram) {
        if (histogram.getTotalCount() > 0) {
            figures.put(name + "_p50_ms", histogram.getValueAtPercentile(50) / 1e3);
            figures.put(name + "_p99_ms", histogram.getValueAtPercentile(99) / 1e3);
            figures.put(name + "_last_ms", histogram.getMaxValue() / 1e3);
        }
    }

    // p99 in ms from the intended start, of what was served.
    private double load(List<InetSocketAddress> to, long micros) throws InterruptedException {
        try (Load load = new Load(
                new Load.Plan(to, plan.fleet().loadPerSecond() * plan.fleet().real(), micros, 2, 1_000, plan.seed()),
                List.of(Site.LOOKUP))) {
            load.run(() -> {});
            long unserved = load.outcomes().stream().filter(o -> !o.served()).count();
            if (unserved > 0) {
                missed.add(unserved + " of " + load.outcomes().size() + " requests to real balancers were not served");
            }
            return load.latencies(0).getValueAtPercentile(99) / 1e3;
        }
    }

    // ---- fault

    private void restart(StandInDiscovery discovery, HollowFleet fleet) throws InterruptedException {
        discovery.forgetPeak();
        StandInDiscovery.Counts before = discovery.counts();
        long began = System.nanoTime();
        fleet.restart(plan.restart().known());
        boolean all = reached(fleet, fleet.size(), discovery.rev(), "the list after the joint restart");
        recovered("restart", discovery, before, all && listed, began, fleet.tally());
    }

    private void recovered(
            String what,
            StandInDiscovery discovery,
            StandInDiscovery.Counts before,
            boolean all,
            long began,
            Tally tally) {
        StandInDiscovery.Counts counts = discovery.counts().since(before);
        if (all) {
            figures.put(what + "_all_listed_ms", (System.nanoTime() - began) / MS);
        }
        figures.put(what + "_calls_count", (double) counts.calls());
        figures.put(what + "_refused_count", (double) counts.refused());
        figures.put(what + "_calls_peak_per_s", (double) counts.peakPerSecond());
        figures.put(what + "_wholes_count", (double) counts.wholes());
        figures.put(what + "_sent_bytes", (double) counts.bytesOut());
        figures.put(what + "_longest_wait_ms", counts.longestMicros() / 1e3);
        figures.put(what + "_failed_in_balancers_count", (double) tally.failed);
    }

    private void outage(StandInDiscovery discovery, HollowFleet fleet, Machines machines) throws InterruptedException {
        FleetPlan.Outage outage = plan.outage();
        fleet.begin();
        discovery.forgetPeak();
        double still = Clocks.collected();
        StandInDiscovery.Counts before = discovery.counts();
        try (Publisher publisher = new Publisher(discovery, machines, plan.churn(), plan.seed() + 1)) {
            switch (outage.kind()) {
                case DOWN -> discovery.down();
                case CUT_OFF -> discovery.cutOff();
                default -> discovery.slow(outage.callTime());
            }
            publisher.start(outage.length());
            TimeUnit.MICROSECONDS.sleep(outage.length());
            await(publisher::over, outage.length());
            figures.put("outage_published_late_most_ms", publisher.lateMicros() / 1e3);
            figures.put("outage_changes_count", (double) publisher.published());
        }
        figures.put("outage_stood_still_ms", Clocks.collected() - still);
        StandInDiscovery.Counts during = discovery.counts().since(before);
        figures.put("outage_during_calls_count", (double) (during.calls() + during.refused() + during.silent()));
        figures.put("outage_during_calls_peak_per_s", (double) during.peakPerSecond());
        discovery.forgetPeak();
        StandInDiscovery.Counts atBack = discovery.counts();
        long began = System.nanoTime();
        discovery.back();
        boolean all = reached(fleet, fleet.size(), discovery.rev(), "the list after the outage");
        recovered("outage_after", discovery, atBack, all && listed, began, fleet.tally());
        inForce("outage_in_force", fleet.tally().inForce);
    }

    /** Publishes churn at its times, on a thread of its own. */
    private static final class Publisher implements AutoCloseable {
        private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread thread = new Thread(r, "churn");
            thread.setDaemon(true);
            return thread;
        });
        private final StandInDiscovery discovery;
        private final Churn churn;
        private List<Churn.Event> events = List.of();
        private volatile int done;
        private volatile long entries;
        private volatile long late;

        Publisher(StandInDiscovery discovery, Machines machines, Churn.Rates rates, long seed) {
            this.discovery = discovery;
            this.churn = new Churn(machines, rates, seed);
        }

        void start(long length) {
            events = churn.events(length);
            long began = System.nanoTime();
            for (Churn.Event event : events) {
                clock.schedule(
                        () -> {
                            late = Math.max(late, (System.nanoTime() - began) / 1_000 - event.at());
                            discovery.publish(churn.changes(event, System.currentTimeMillis()));
                            entries += event.machines().size();
                            done++;
                        },
                        Math.max(0, event.at() * 1_000 - (System.nanoTime() - began)),
                        TimeUnit.NANOSECONDS);
            }
        }

        boolean over() {
            return done >= events.size();
        }

        int published() {
            return done;
        }

        long entries() {
            return entries;
        }

        long lateMicros() {
            return late;
        }

        @Override
        public void close() {
            clock.shutdownNow();
        }
    }
}
