package loadbalancer.simulator.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.simulator.policies.Choosers;
import loadbalancer.simulator.rules.Score;
import loadbalancer.simulator.variants.RoutingSpec;
import loadbalancer.simulator.variants.Variants;
import loadbalancer.simulator.variants.Variants.Variant;
import loadbalancer.simulator.world.WorldPlan;
import loadbalancer.toml.ConfigException;
import loadbalancer.toml.Measure;
import loadbalancer.toml.Section;
import loadbalancer.toml.Source;
import loadbalancer.toml.Suggestion;

/** Reads experiments, strictly: every fault is named, with file and line, before anything runs. */
public final class ExperimentReader {
    private ExperimentReader() {}

    /**
     * Reads the experiment in {@code file} with all that it includes.
     *
     * @throws ConfigException with all that is wrong with it
     */
    public static Experiment read(Path file) throws IOException {
        Source source = Source.read(file);
        Section root = new Section(source, source.tree(), "");
        Section head = root.table("experiment");
        String name = head.text("name", file.getFileName().toString().replace(".toml", ""));
        String question = head.text("question", "");
        long firstSeed = Math.round(head.number("first_seed", Measure.NUMBER, 1));
        int seeds = (int) head.number("seeds", Measure.COUNT, 5);
        List<String> expected = head.texts("expect", List.of());
        head.rejectUnknownKeys();
        WorldPlan plan = WorldPlanReader.read(root);
        RoutingSpec front = root.has("front") ? RoutingReader.read(root.table("front"), plan) : null;
        List<Variant> variants = variants(root, plan, front);
        root.rejectUnknownKeys();
        source.throwIfFaulty();
        List<String> figures = Score.names(plan);
        List<String> names = variants.stream().map(Variant::name).toList();
        List<Expectation> expectations = new ArrayList<>();
        for (String e : expected) {
            try {
                expectations.add(Expectation.read(e, figures, names));
            } catch (IllegalArgumentException wrong) {
                source.fault("experiment.expect", wrong.getMessage());
            }
        }
        source.throwIfFaulty();
        return new Experiment(name, question, plan, firstSeed, seeds, variants, expectations);
    }

    private static List<Variant> variants(Section root, WorldPlan plan, RoutingSpec front) {
        double fast = plan.kinds().isEmpty() ? 0.5 : plan.kinds().get(0).share().midpoint();
        List<Variant> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section section : root.tables("variant")) {
            String policy = section.text("policy", null);
            String name = section.text("name", policy);
            if (!Variants.names().contains(policy)) {
                section.fault(
                        "policy",
                        "no policy '" + policy + "'; there are " + String.join(", ", Variants.names())
                                + Suggestion.didYouMean(policy, Variants.names()));
            }
            if (!names.add(name)) {
                section.fault("name", "two variants are called '" + name + "'");
            }
            int sampled = (int) section.number("d", Measure.COUNT, 4);
            int fromAccomplished = (int) section.number("a", Measure.NUMBER, Math.min(2, sampled));
            if (fromAccomplished > sampled) {
                section.fault("a", "'a' is " + fromAccomplished + ": at most d, which is " + sampled);
            }
            double share = section.number("fast_share", Measure.SHARE, Math.min(1, fast));
            RoutingSpec.Use use = RoutingReader.use(section, front);
            boolean calm = section.flag("calm", false);
            section.rejectUnknownKeys();
            all.add(new Variant(
                    name,
                    policy,
                    new Choosers.Figures(Math.max(1, sampled), Math.min(fromAccomplished, sampled), share),
                    use,
                    calm));
        }
        if (all.isEmpty()) {
            Choosers.Figures defaults = new Choosers.Figures(4, 2, Math.min(1, fast));
            all.add(new Variant(Variants.OWN, Variants.OWN, defaults));
            all.add(new Variant("random", "random", defaults));
        }
        return all;
    }
}
