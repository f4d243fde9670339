package loadbalancer.simulator.fleet;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/** Figures of one balancer by the {@code run} line, started before a small list. */
final class RealStart {
    private static final double MB = 1 << 20;
    private static final int UPSTREAMS = 10;
    private static final int LAST = 300; // characters of what it said

    private RealStart() {}

    /** What the start needs beside what the axis itself does. */
    static Need need(long bytes) {
        return new Need(Host.REAL_BYTES + bytes, 1, 100);
    }

    /**
     * Starts it, notes how it went, and ends it.
     *
     * @param extra settings in place of, or beside, those of the fleet
     * @param environment further variables
     */
    static void measure(
            Axes.Setup setup,
            Map<String, Object> extra,
            Map<String, String> environment,
            String what,
            Map<String, Double> figures,
            List<String> missed)
            throws IOException {
        FleetPlan.Fleet fleet = setup.plan().fleet();
        Machines machines = new Machines(UPSTREAMS, fleet.zones(), fleet.rackSize(), List.of("127.0.0.1:9"));
        try (RealBalancers real = new RealBalancers(setup.root());
                StandInDiscovery discovery =
                        new StandInDiscovery(machines.all(), setup.plan().discovery())) {
            Map<String, Object> config =
                    Site.config(fleet, 0, 1, discovery.address().getPort(), machines.known(discovery.rev()));
            @SuppressWarnings("unchecked")
            Map<String, Object> settings = (Map<String, Object>) config.get("settings");
            settings.putAll(extra);
            RealBalancers.Start start = real.start(config, environment);
            figures.put("real_ready_yes", start.process() == null ? 0.0 : 1);
            figures.put(start.process() == null ? "real_ended_ms" : "real_ready_ms", start.millis());
            figures.put("real_rss_most_mb", start.rssBytes() / MB);
            if (start.process() == null) {
                figures.put("real_exit_code", (double) start.exitCode());
                String said = start.why();
                missed.add(what + ": a real balancer "
                        + (start.exitCode() < 0
                                ? "was not ready after 30 s"
                                : "ended with exit code " + start.exitCode())
                        + ": "
                        + said.substring(Math.max(0, said.length() - LAST)));
            }
        }
    }
}
