package loadbalancer.simulator.cli;

import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicySettings;
import loadbalancer.simulator.experiment.Experiment;
import loadbalancer.simulator.experiment.ExperimentReader;
import loadbalancer.simulator.policies.NoOpActions;
import loadbalancer.simulator.rules.Day;
import loadbalancer.simulator.variants.MeteredPolicy;
import loadbalancer.simulator.variants.Variants;
import loadbalancer.simulator.variants.Variants.Variant;
import loadbalancer.simulator.world.PolicyFactory;
import loadbalancer.simulator.world.Range;
import loadbalancer.simulator.world.WorldPlan;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code simulator scale}: how a policy grows with the number of balancers and upstreams. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Plays an experiment's world at several sizes, one day each on one thread: worth, rules, cost of a"
                        + " decision, memory of a module. What grows faster than the fleet shows here.",
        footer = {"", "Example:", "  bin/simulator scale experiments/booking-day.toml --size 3x10 --size 48x1000"})
final class ScaleCommand implements Callable<Integer> {
    private static final int MODULES = 10;

    @Parameters(paramLabel = "FILE", description = "The experiment.")
    private File file;

    @Option(names = "--size", description = "BALANCERSxUPSTREAMS; 3x10, 8x50, 16x200 and 48x1000 unless given.")
    private List<String> sizes;

    @Option(names = "--policy", defaultValue = Variants.OWN, description = "Policy; balance.")
    private String policy;

    @Option(names = "--length", defaultValue = "40", description = "Seconds of a day; 40.")
    private int length;

    @Option(names = "--seed", defaultValue = "1", description = "Seed; 1.")
    private long seed;

    @Override
    public Integer call() throws IOException {
        Experiment experiment = ExperimentReader.read(file.toPath());
        Variant variant = experiment.variants().stream()
                .filter(v -> v.policy().equals(policy))
                .findFirst()
                .orElse(new Variant(policy, policy, experiment.variants().get(0).figures()));
        System.out.printf(
                "%-10s%8s%8s%8s%10s%12s%12s%10s%12s%12s%10s%n",
                "size",
                "G",
                "broken",
                "fallen",
                "requests",
                "us/request",
                "us/list",
                "core/s",
                "kB/module",
                "events/s",
                "seconds");
        System.out.printf("%-10s%s%n", "", "margins left by each rule: cold (share), drain (ms), answer (ms)");
        List<String> wanted = sizes == null ? List.of("3x10", "8x50", "16x200", "48x1000") : sizes;
        for (String size : wanted) {
            int x = size.indexOf('x');
            if (x < 1) {
                throw new IllegalArgumentException("'" + size + "' is no size: BALANCERSxUPSTREAMS is wanted");
            }
            play(
                    size,
                    experiment.plan(),
                    variant,
                    Integer.parseInt(size.substring(0, x)),
                    Integer.parseInt(size.substring(x + 1)));
        }
        return 0;
    }

    private void play(String size, WorldPlan sitePlan, Variant variant, int balancers, int upstreams) {
        // The discovery service's capacity is for the site's three balancers: a larger site has a larger one.
        WorldPlan.Discovery discovery = sitePlan.discovery();
        double times = Math.max(1, balancers / 3.0) * Math.max(1, upstreams / 10.0);
        WorldPlan base =
                sitePlan.withSize(Range.of(balancers), Range.of(upstreams)).withLength(length * 1_000_000L);
        WorldPlan plan = new WorldPlan(
                base.length(),
                base.balancers(),
                base.upstreams(),
                base.zones(),
                base.load(),
                base.network(),
                base.clients(),
                new WorldPlan.Discovery(
                        discovery.polling(),
                        discovery.noticeDelay(),
                        discovery.silentFailureNotice(),
                        discovery.registrationDelay(),
                        discovery.period(),
                        discovery.spread(),
                        new Range(
                                discovery.capacity().from() * times,
                                discovery.capacity().to() * times),
                        discovery.entriesPerCall(),
                        discovery.timeout()),
                base.rules(),
                base.goal(),
                base.prices(),
                base.fleet(),
                base.kinds(),
                base.classes(),
                base.tenants(),
                base.faults());
        MeteredPolicy.Meter meter = new MeteredPolicy.Meter();
        PolicyFactory policyFactory = Variants.policyFactory(variant);
        List<PolicySettings> seen = new ArrayList<>();
        long began = System.nanoTime();
        Day day = Day.play(plan, seed, (settings, s, truth) -> {
            seen.add(settings);
            return new MeteredPolicy(policyFactory.create(settings, s, truth), meter, System::nanoTime);
        });
        double seconds = (System.nanoTime() - began) / 1e9;
        double requests = day.figures().get("requests");
        System.out.printf(
                Locale.ROOT,
                "%-10s%8.3f%8.0f%8.0f%10.0f%12.1f%12.1f%10.4f%12.1f%12.0f%10.1f%n",
                size,
                day.figures().get("G"),
                day.figures().get("rules.broken"),
                day.figures().get("fallen"),
                requests,
                meter.decisionNanos() / 1e3 / requests,
                meter.listNanos() / 1e3 / Math.max(1, meter.lists()),
                meter.allNanos() / 1e9 / length / balancers,
                memory(policyFactory, seen.get(0), upstreams) / 1024.0,
                day.figures().get("events") / seconds,
                seconds);
        System.out.printf(
                Locale.ROOT,
                "%-10s%.3f, %.0f, %.1f%n",
                "",
                day.figures().get("margin.cold"),
                day.figures().get("margin.drain_ms"),
                day.figures().get("margin.answer_ms"));
    }

    // Bytes of a policy that knows the fleet and has served for a while.
    private static double memory(PolicyFactory policyFactory, PolicySettings settings, int upstreams) {
        List<Endpoint> fleet = IntStream.range(0, upstreams)
                .mapToObj(i -> new Endpoint("u" + i, EndpointState.UP, 0, 1, i / 4, i % 2, i % 3))
                .toList();
        List<LoadBalancingPolicy> modules = new ArrayList<>();
        long before = used();
        for (int m = 0; m < MODULES; m++) {
            LoadBalancingPolicy policy = policyFactory.create(settings, m, null);
            NoOpActions out = new NoOpActions();
            policy.endpoints(1, EndpointListKind.CACHED, fleet, out);
            for (int i = 0; i < 2_000; i++) {
                long now = 1_000 + i * 10_000L;
                policy.request(now, "r" + i, 0, 0, Integer.toHexString(i % 300), 1_000_000, -1, false, out);
                policy.outcome(now + 5_000, "r" + i, 0, AttemptOutcome.OK, 5_000, true, null, out);
                if (i % 10 == 0) {
                    policy.wake(now + 6_000, out);
                }
            }
            modules.add(policy);
        }
        double bytes = (used() - before) / (double) modules.size();
        return Math.max(0, bytes);
    }

    private static long used() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
