package loadbalancer.simulator.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import loadbalancer.simulator.fleet.Axes;
import loadbalancer.simulator.fleet.Axis;
import loadbalancer.simulator.fleet.FleetPlan;
import loadbalancer.simulator.fleet.FleetReader;
import loadbalancer.simulator.fleet.FleetResults;
import loadbalancer.simulator.fleet.Host;
import loadbalancer.simulator.fleet.ScalePoint;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Measures how costs grow with the fleet. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Runs fleets of many sizes"
                + " on this machine's loopback: hollow balancers (the real client of discovery,"
                + " membership and module) before a"
                + " stand-in discovery, under churn, beside real balancers where the file asks for them."
                + " Measures at each size, and"
                + " fits a line through each figure.",
        footer = {
            "",
            "Exit codes: 0 all sizes ran, 1 one was refused or could not reach something, 2 unusable input.",
            "",
            "Examples:",
            "  bin/simulator fleet experiments/fleet/fleet-balancers.toml",
            "  LAB_JAVA_OPTS=-Xmx10g bin/simulator fleet experiments/fleet/fleet-upstreams.toml --json out.json",
            "",
            "See docs/fleet-runs.md."
        })
final class FleetCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The scale run.")
    private Path file;

    @Option(names = "--root", defaultValue = ".", description = "the project's root, where the run line starts")
    private Path root;

    @Option(names = "--json", description = "where the figures go as JSON")
    private Path json;

    @Option(names = "--html", defaultValue = "simulator/target/fleet.html", description = "where the page goes")
    private Path html;

    @Option(names = "--commit", defaultValue = "", description = "of what runs, for the table and the JSON")
    private String commit;

    @Override
    public Integer call() throws IOException, InterruptedException {
        FleetPlan plan = FleetReader.read(file);
        Host host = Host.here();
        List<ScalePoint> points = new ArrayList<>();
        List<String> refused = new ArrayList<>();
        for (FleetPlan.Sweep sweep : plan.sweeps()) {
            Axis axis = Axes.of(sweep.axis(), new Axes.Setup(plan, root));
            for (long size : sweep.sizes()) {
                List<String> lacks = host.lacks(axis.need(size));
                if (!lacks.isEmpty()) {
                    refused.add(sweep.axis() + " " + size + ": " + String.join("; ", lacks));
                    System.err.println("refused, " + refused.get(refused.size() - 1));
                    continue;
                }
                long began = System.nanoTime();
                ScalePoint point = axis.measure(size);
                points.add(point);
                System.err.printf(
                        Locale.ROOT, "%s %d: %.0f s%n", sweep.axis(), size, (System.nanoTime() - began) / 1e9);
                // After each size: what has been measured stays, also where the next one is ended early.
                write(new FleetResults(plan, host, commit, points, refused));
            }
        }
        FleetResults results = new FleetResults(plan, host, commit, points, refused);
        write(results);
        System.out.print(results.table());
        System.out.println("page written to " + html);
        return refused.isEmpty() && points.stream().allMatch(p -> p.missed().isEmpty()) ? 0 : 1;
    }

    private void write(FleetResults results) throws IOException {
        Files.createDirectories(html.toAbsolutePath().getParent());
        Files.writeString(html, results.html());
        if (json != null) {
            Files.createDirectories(json.toAbsolutePath().getParent());
            results.write(json);
        }
    }
}
