package loadbalancer.simulator.cli;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import loadbalancer.simulator.experiment.Experiment;
import loadbalancer.simulator.experiment.ExperimentReader;
import loadbalancer.simulator.sockets.BalancerChildProcess;
import loadbalancer.simulator.sockets.DemoPage;
import loadbalancer.simulator.sockets.LiveSite;
import loadbalancer.simulator.sockets.Load;
import loadbalancer.simulator.sockets.SiteSettings;
import loadbalancer.simulator.world.WorldPlan;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays an experiment's first seed on sockets: real balancers before emulated upstreams. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Starts a register, emulated upstreams and real"
                + " balancers on loopback, plays load with the experiment's troubles, and ends all of it.",
        footer = {"", "Example:", "  bin/simulator demo experiments/demo.toml"})
final class DemoCommand implements Callable<Integer> {
    @Parameters(arity = "0..1", defaultValue = "experiments/demo.toml", paramLabel = "FILE")
    private Path file;

    @Option(names = "--root", defaultValue = ".", description = "the project's root, where the run line starts")
    private Path root;

    @Option(names = "--html", defaultValue = "simulator/target/demo.html", description = "where the page goes")
    private Path html;

    private final List<BalancerChildProcess> balancers = new ArrayList<>();

    @Override
    public Integer call() throws Exception {
        Experiment experiment = ExperimentReader.read(file);
        WorldPlan plan = experiment.plan();
        String run = new TomlMapper()
                .readTree(Files.readString(root.resolve("deploy/balancer.toml")))
                .get("run")
                .asText();
        Thread end = new Thread(this::endAll, "end");
        Runtime.getRuntime().addShutdownHook(end); // also on Ctrl-C: no process stays
        try (LiveSite site = new LiveSite(plan, experiment.firstSeed())) {
            int many = Math.max(1, (int) Math.round(plan.balancers().midpoint()));
            List<InetSocketAddress> entries = new ArrayList<>();
            for (int i = 0; i < many; i++) {
                BalancerChildProcess process = new BalancerChildProcess(
                        List.of("bash", "-c", run), root, SiteSettings.config(plan, i, many, site));
                balancers.add(process);
                entries.add(process.address());
            }
            System.out.printf(
                    Locale.ROOT,
                    "%d balancers by run before %.0f requests a second of capacity; load %.0f%n",
                    many,
                    site.perSecond(),
                    site.perSecond() * plan.load().level().midpoint());
            try (Load load = new Load(
                    new Load.Plan(
                            entries,
                            site.perSecond() * plan.load().level().midpoint(),
                            plan.length(),
                            1 + (int) plan.clients().retries().midpoint(),
                            Math.max(1, (int) plan.load().keys().midpoint()),
                            experiment.firstSeed()),
                    plan.classes())) {
                int[] seconds = {0};
                load.run(() -> {
                    if (System.console() != null) {
                        System.err.printf("\r%3d s, %d requests", ++seconds[0], load.ended());
                    }
                });
                Map<String, Integer> ledger = site.ledger();
                DemoPage page = new DemoPage(plan, load, ledger);
                page.table().forEach(System.out::println);
                Files.createDirectories(html.toAbsolutePath().getParent());
                Files.writeString(html, page.html(experiment.question()));
                System.out.println("page written to " + html);
                return page.violations().isEmpty() && balancers.stream().allMatch(BalancerChildProcess::alive) ? 0 : 1;
            }
        } finally {
            endAll();
            try {
                Runtime.getRuntime().removeShutdownHook(end);
            } catch (IllegalStateException already) {
                System.err.println("ended early");
            }
        }
    }

    private synchronized void endAll() {
        for (BalancerChildProcess process : balancers) {
            try {
                process.close();
            } catch (IOException e) {
                System.err.println("a balancer's file stays: " + e.getMessage());
            }
        }
        balancers.clear();
    }
}
