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

    static RoutingSpec read(Section f, WorldPlan plan) {
        List<String> pools =
                plan.kinds().stream().map(WorldPlan.Kind::pool).distinct().toList();
        List<String> classes =
                plan.classes().stream().map(WorldPlan.RequestKind::name).toList();
        List<RoutingSpec.Pool> own = new ArrayList<>();
        for (Section p : f.tables("pool")) {
            String name = p.text("name", null);
            if (!pools.contains(name)) {
                p.fault("name", "no [[kind]] is of pool '" + name + "'" + Suggestion.didYouMean(name, pools));
            }
            LimitAlgorithm limit = p.has("limit") ? p.word("limit", LimitAlgorithm.class, null) : null;
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
                f.fault("pool", "no [[front.pool]] for pool '" + p + "', which a [[kind]] names");
            }
        }
        List<RoutingSpec.Way> routes = new ArrayList<>();
        for (Section r : f.tables("route")) {
            routes.add(route(r, pools, classes));
        }
        if (routes.isEmpty()) {
            f.fault("route", "no [[front.route]]: one at least is wanted");
        }
        RoutingSpec spec = new RoutingSpec(
                List.copyOf(own),
                List.copyOf(routes),
                f.number("tenant_rate", Measure.NUMBER, 0),
                f.number("tenant_ceiling", Measure.NUMBER, CEILING),
                f.number("site_rate", Measure.NUMBER, 1),
                f.number("reserve", Measure.SHARE, 0));
        f.rejectUnknownKeys();
        return spec;
    }

    private static RoutingSpec.Way route(Section r, List<String> pools, List<String> classes) {
        String name = r.text("name", null);
        List<String> to = r.texts("to", List.of());
        List<String> spill = r.texts("spill", List.of());
        List<String> all = new ArrayList<>(to);
        all.addAll(spill);
        for (String p : all) {
            if (!pools.contains(p)) {
                r.fault("to", "no pool '" + p + "'" + Suggestion.didYouMean(p, pools));
            }
        }
        if (to.isEmpty()) {
            r.fault("to", "route '" + name + "' leads to no pool");
        }
        List<String> only = r.texts("classes", List.of());
        for (String c : only) {
            if (!classes.contains(c)) {
                r.fault("classes", "no class '" + c + "'" + Suggestion.didYouMean(c, classes));
            }
        }
        List<Double> weights = new ArrayList<>();
        for (String w : r.texts("weights", to.stream().map(p -> "1").toList())) {
            weights.add(weight(r, w));
        }
        if (weights.size() != to.size()) {
            r.fault("weights", weights.size() + " weights for " + to.size() + " pools");
        }
        RoutingSpec.Way way = new RoutingSpec.Way(
                name,
                Set.copyOf(only),
                to,
                weights,
                spill,
                r.number("spill_most", Measure.SHARE, 1),
                Math.max(1, r.number("spare", Measure.NUMBER, 1.2)),
                Math.max(1e-6, r.number("return_per_s", Measure.NUMBER, 0.05)),
                r.number("retry_share", Measure.SIGNED, -1),
                r.flag("count_clients", true),
                (int) r.number("steps", Measure.NUMBER, 0),
                r.time("steps_from", 0),
                Math.max(1, r.time("steps_length", 1_000_000)));
        r.rejectUnknownKeys();
        return way;
    }

    private static double weight(Section r, String text) {
        try {
            double w = Double.parseDouble(text);
            if (w >= 0 && !Double.isInfinite(w)) {
                return w;
            }
        } catch (NumberFormatException e) {
            r.fault("weights", "'" + text + "' is no weight: a number of 0 or more is wanted");
            return 0;
        }
        r.fault("weights", "'" + text + "' is no weight: a number of 0 or more is wanted");
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
        LimitAlgorithm limit = variant.has("limit") ? variant.word("limit", LimitAlgorithm.class, null) : null;
        return new RoutingSpec.Use(
                front,
                limit,
                Set.copyOf(without),
                Math.max(1e-6, variant.number("told_times", Measure.NUMBER, 1)),
                (int) variant.number("told_more", Measure.SIGNED, 0));
    }
}
