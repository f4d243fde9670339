package loadbalancer.simulator.experiment;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.limits.LimitAlgorithm;
import loadbalancer.simulator.variants.RoutingSpec;
import loadbalancer.simulator.world.WorldPlan;
import loadbalancer.toml.Measure;
import loadbalancer.toml.Section;
import loadbalancer.toml.Suggestion;

/** Reads the front of an experiment, and how each variant uses it. */
final class RoutingReader {
    private static final Set<String> PARTS = Set.of("quotas", "retries", "limits", "spill", "steps");
    private static final double CEILING = 3;

    private RoutingReader() {}

    static RoutingSpec read(Section section, WorldPlan plan) {
        List<String> pools =
                plan.kinds().stream().map(WorldPlan.Kind::pool).distinct().toList();
        List<String> classes =
                plan.classes().stream().map(WorldPlan.RequestClassPlan::name).toList();
        List<RoutingSpec.Pool> own = new ArrayList<>();
        for (Section p : section.tables("pool")) {
            String name = p.text("name", null);
            if (!pools.contains(name)) {
                p.fault("name", "no [[kind]] is of pool '" + name + "'" + Suggestion.didYouMean(name, pools));
            }
            LimitAlgorithm limit = p.has("limit") ? p.choice("limit", LimitAlgorithm.class, null) : null;
            own.add(new RoutingSpec.Pool(
                    name,
                    limit,
                    p.number("start", Measure.NUMBER, 8),
                    p.number("least", Measure.NUMBER, 1),
                    p.number("most", Measure.NUMBER, 100),
                    (int) p.number("full_strength", Measure.NUMBER, 0)));
            p.rejectUnknownKeys();
        }
        Set<String> named = new HashSet<>();
        own.forEach(p -> named.add(p.name()));
        for (String p : pools) {
            if (!named.contains(p)) {
                section.fault("pool", "no [[front.pool]] for pool '" + p + "', which a [[kind]] names");
            }
        }
        List<RoutingSpec.Way> routes = new ArrayList<>();
        for (Section r : section.tables("route")) {
            routes.add(route(r, pools, classes));
        }
        if (routes.isEmpty()) {
            section.fault("route", "no [[front.route]]: one at least is wanted");
        }
        RoutingSpec spec = new RoutingSpec(
                List.copyOf(own),
                List.copyOf(routes),
                section.number("tenant_rate", Measure.NUMBER, 0),
                section.number("tenant_ceiling", Measure.NUMBER, CEILING),
                section.number("site_rate", Measure.NUMBER, 1),
                section.number("reserve", Measure.SHARE, 0));
        section.rejectUnknownKeys();
        return spec;
    }

    private static RoutingSpec.Way route(Section section, List<String> pools, List<String> classes) {
        String name = section.text("name", null);
        List<String> to = section.texts("to", List.of());
        List<String> spill = section.texts("spill", List.of());
        List<String> all = new ArrayList<>(to);
        all.addAll(spill);
        for (String p : all) {
            if (!pools.contains(p)) {
                section.fault("to", "no pool '" + p + "'" + Suggestion.didYouMean(p, pools));
            }
        }
        if (to.isEmpty()) {
            section.fault("to", "route '" + name + "' leads to no pool");
        }
        List<String> only = section.texts("classes", List.of());
        for (String c : only) {
            if (!classes.contains(c)) {
                section.fault("classes", "no class '" + c + "'" + Suggestion.didYouMean(c, classes));
            }
        }
        List<Double> weights = new ArrayList<>();
        for (String w : section.texts("weights", to.stream().map(p -> "1").toList())) {
            weights.add(weight(section, w));
        }
        if (weights.size() != to.size()) {
            section.fault("weights", weights.size() + " weights for " + to.size() + " pools");
        }
        RoutingSpec.Way way = new RoutingSpec.Way(
                name,
                Set.copyOf(only),
                to,
                weights,
                spill,
                section.number("spill_most", Measure.SHARE, 1),
                Math.max(1, section.number("spare", Measure.NUMBER, 1.2)),
                Math.max(1e-6, section.number("return_per_s", Measure.NUMBER, 0.05)),
                section.number("retry_share", Measure.SIGNED, -1),
                section.flag("count_clients", true),
                (int) section.number("steps", Measure.NUMBER, 0),
                section.time("steps_from", 0),
                Math.max(1, section.time("steps_length", 1_000_000)));
        section.rejectUnknownKeys();
        return way;
    }

    private static double weight(Section section, String text) {
        try {
            double w = Double.parseDouble(text);
            if (w >= 0 && !Double.isInfinite(w)) {
                return w;
            }
        } catch (NumberFormatException e) {
            section.fault("weights", "'" + text + "' is no weight: a number of 0 or more is wanted");
            return 0;
        }
        section.fault("weights", "'" + text + "' is no weight: a number of 0 or more is wanted");
        return 0;
    }

    /** How a variant uses the experiment's front; null where it doesn't. */
    static RoutingSpec.Use use(Section variant, RoutingSpec front) {
        if (!variant.flag("front", false)) {
            return null;
        }
        if (front == null) {
            variant.fault("front", "the experiment has no [front] to use");
            return null;
        }
        List<String> without = variant.texts("without", List.of());
        for (String w : without) {
            if (!PARTS.contains(w)) {
                variant.fault(
                        "without",
                        "no part '" + w + "'; there are "
                                + String.join(", ", PARTS.stream().sorted().toList())
                                + Suggestion.didYouMean(w, PARTS));
            }
        }
        LimitAlgorithm limit = variant.has("limit") ? variant.choice("limit", LimitAlgorithm.class, null) : null;
        return new RoutingSpec.Use(
                front,
                limit,
                Set.copyOf(without),
                Math.max(1e-6, variant.number("told_times", Measure.NUMBER, 1)),
                (int) variant.number("told_more", Measure.SIGNED, 0));
    }
}
