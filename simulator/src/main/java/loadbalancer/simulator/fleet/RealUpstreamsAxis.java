package loadbalancer.simulator.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * One balancer by the {@code run} line that starts with a known list of that size, before a discovery that lists the
 * same: whether it is ready, after what time, in what memory, and what it costs while nothing changes.
 */
final class RealUpstreamsAxis implements Axis {
    private static final double MB = 1 << 20;
    private static final int ENTRY_BYTES = 1_000; // here: the list as objects, as text and as bytes
    private static final int LAST = 300; // characters of what it said

    private final Axes.Setup setup;

    RealUpstreamsAxis(Axes.Setup setup) {
        this.setup = setup;
    }

    @Override
    public String name() {
        return "real_upstreams";
    }

    @Override
    public Need need(long size) {
        return new Need(Host.REAL_BYTES + (200L << 20) + size * ENTRY_BYTES, 1, 200);
    }

    @Override
    public ScalePoint measure(long size) throws IOException, InterruptedException {
        FleetPlan.Fleet fleet = setup.plan().fleet();
        Map<String, Double> figures = new TreeMap<>();
        List<String> missed = new ArrayList<>();
        figures.put(FleetRun.LOAD, Host.load());
        try (QuickUpstream upstream = new QuickUpstream(FleetRun.LISTENERS);
                RealBalancers real = new RealBalancers(setup.root())) {
            Machines machines = new Machines((int) size, fleet.zones(), fleet.rackSize(), upstream.endpoints());
            try (StandInDiscovery discovery =
                    new StandInDiscovery(machines.all(), setup.plan().discovery())) {
                figures.put("list_bytes", (double) discovery.listBytes());
                RealBalancers.Start start = real.start(
                        Site.config(fleet, 0, 1, discovery.address().getPort(), machines.known(discovery.rev())));
                figures.put("ready_yes", start.process() == null ? 0.0 : 1);
                figures.put(start.process() == null ? "ended_ms" : "ready_ms", start.millis());
                figures.put("start_rss_most_mb", start.rssBytes() / MB);
                if (start.process() == null) {
                    figures.put("exit_code", (double) start.exitCode());
                    String said = start.why();
                    missed.add(size + " upstreams known: "
                            + (start.exitCode() < 0
                                    ? "not ready after 30 s"
                                    : "ended with exit code " + start.exitCode())
                            + ": "
                            + said.substring(Math.max(0, said.length() - LAST)));
                } else {
                    long pid = start.process().pid();
                    figures.put("start_cpu_s", Host.cpu(pid));
                    double before = Host.cpu(pid);
                    StandInDiscovery.Counts counts = discovery.counts();
                    long began = System.nanoTime();
                    TimeUnit.MICROSECONDS.sleep(fleet.idle());
                    double seconds = (System.nanoTime() - began) / 1e9;
                    StandInDiscovery.Counts window = discovery.counts().since(counts);
                    figures.put("idle_cpu_percent", (Host.cpu(pid) - before) / seconds * 100);
                    figures.put("idle_received_bytes_per_s", window.bytesOut() / seconds);
                    figures.put("rss_mb", Host.status(pid, "VmRSS") / MB);
                    figures.put("hwm_mb", Host.status(pid, "VmHWM") / MB);
                    if (!start.process().alive()) {
                        missed.add(size + " upstreams known: ready, and ended within the idle time");
                    }
                    FleetRun.complaints(start.process(), "a real balancer at " + size + " upstreams", missed);
                }
            }
        }
        return new ScalePoint(name(), size, figures, missed);
    }
}
