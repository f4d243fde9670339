package loadbalancer.simulator.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.policy.Idempotency;
import loadbalancer.settings.ProtocolNames;
import loadbalancer.simulator.policies.Choosers;
import loadbalancer.simulator.rules.Score;
import loadbalancer.simulator.variants.RoutingSpec;
import loadbalancer.simulator.variants.Variants;
import loadbalancer.simulator.variants.Variants.Variant;
import loadbalancer.simulator.world.Range;
import loadbalancer.simulator.world.Timeline;
import loadbalancer.simulator.world.WorldPlan;
import loadbalancer.toml.ConfigException;
import loadbalancer.toml.Measure;
import loadbalancer.toml.Section;
import loadbalancer.toml.Source;
import loadbalancer.toml.Suggestion;

/** Reads experiments, strictly: every fault is named, with file and line, before anything runs. */
public final class ExperimentReader {
    private static final Range NONE = Range.of(0);
    private static final Range ONE = Range.of(1);

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
        WorldPlan plan = plan(root);
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

    private static Range range(Section s, String key, Measure measure) {
        double[] pair = s.pair(key, measure);
        return new Range(pair[0], pair[1]);
    }

    private static Range range(Section s, String key, Measure measure, Range otherwise) {
        return s.has(key) ? range(s, key, measure) : otherwise;
    }

    private static List<Variant> variants(Section root, WorldPlan plan, RoutingSpec front) {
        double fast = plan.kinds().isEmpty() ? 0.5 : plan.kinds().get(0).share().midpoint();
        List<Variant> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section s : root.tables("variant")) {
            String policy = s.text("policy", null);
            String name = s.text("name", policy);
            if (!Variants.names().contains(policy)) {
                s.fault(
                        "policy",
                        "no policy '" + policy + "'; there are " + String.join(", ", Variants.names())
                                + Suggestion.didYouMean(policy, Variants.names()));
            }
            if (!names.add(name)) {
                s.fault("name", "two variants are called '" + name + "'");
            }
            int d = (int) s.number("d", Measure.COUNT, 4);
            int a = (int) s.number("a", Measure.NUMBER, Math.min(2, d));
            if (a > d) {
                s.fault("a", "'a' is " + a + ": at most d, which is " + d);
            }
            double share = s.number("fast_share", Measure.SHARE, Math.min(1, fast));
            RoutingSpec.Use use = RoutingReader.use(s, front);
            boolean calm = s.flag("calm", false);
            s.rejectUnknownKeys();
            all.add(new Variant(name, policy, new Choosers.Figures(Math.max(1, d), Math.min(a, d), share), use, calm));
        }
        if (all.isEmpty()) {
            Choosers.Figures usual = new Choosers.Figures(4, 2, Math.min(1, fast));
            all.add(new Variant(Variants.OWN, Variants.OWN, usual));
            all.add(new Variant("random", "random", usual));
        }
        return all;
    }

    private static WorldPlan plan(Section root) {
        Section w = root.table("world");
        long length = w.time("length");
        if (length < 1_000_000) {
            w.fault("length", "'length' is under a second");
        }
        Range balancers = range(w, "balancers", Measure.COUNT);
        Range upstreams = range(w, "upstreams", Measure.NUMBER);
        List<String> zones = w.texts("zones", List.of("here"));
        if (zones.isEmpty()) {
            w.fault("zones", "'zones' is empty: one at least is wanted");
        }
        w.rejectUnknownKeys();
        Section l = root.table("load");
        WorldPlan.Load load = new WorldPlan.Load(
                range(l, "level", Measure.NUMBER),
                l.word("shape", WorldPlan.Shape.class, WorldPlan.Shape.STEADY),
                range(l, "swing", Measure.SHARE, NONE),
                range(l, "zone_skew", Measure.SHARE, NONE),
                range(l, "keys", Measure.NUMBER, NONE),
                range(l, "key_zipf", Measure.NUMBER, NONE),
                range(l, "quota", Measure.NUMBER, ONE));
        l.rejectUnknownKeys();
        Section n = root.table("network");
        WorldPlan.Network network = new WorldPlan.Network(
                range(n, "same", Measure.TIME),
                range(n, "cross", Measure.TIME, Range.of(1000)),
                range(n, "client", Measure.TIME, Range.of(500)),
                range(n, "jitter", Measure.SHARE, NONE),
                n.number("loss", Measure.SHARE, 0));
        n.rejectUnknownKeys();
        Section c = root.table("clients");
        WorldPlan.Clients clients = new WorldPlan.Clients(
                range(c, "retries", Measure.NUMBER, NONE),
                range(c, "try_share", Measure.SHARE, ONE),
                range(c, "backoff", Measure.TIME, Range.of(50_000)),
                range(c, "honour", Measure.SHARE, ONE),
                range(c, "impatient", Measure.SHARE, NONE),
                range(c, "notice", Measure.TIME, Range.of(2_000_000)),
                c.flag("marks_retry", false));
        c.rejectUnknownKeys();
        Section d = root.table("discovery");
        String mode = d.text("mode", "push");
        if (!Set.of("ask", "push").contains(mode)) {
            d.fault("mode", "'mode' is \"" + mode + "\"; there are ask, push");
        }
        WorldPlan.Discovery discovery = new WorldPlan.Discovery(
                mode.equals("ask"),
                range(d, "notice", Measure.TIME, Range.of(1_000_000)),
                range(d, "silent_notice", Measure.TIME, Range.of(5_000_000)),
                range(d, "add", Measure.TIME, Range.of(500_000)),
                range(d, "period", Measure.TIME, Range.of(200_000)),
                range(d, "spread", Measure.TIME, Range.of(50_000)),
                range(d, "capacity", Measure.NUMBER, Range.of(1000)),
                range(d, "call_lines", Measure.COUNT, Range.of(1000)),
                d.time("timeout", 2_000_000));
        d.rejectUnknownKeys();
        Section r = root.table("rules");
        WorldPlan.Rules rules = new WorldPlan.Rules(
                r.time("answer_slack", 20_000),
                r.time("drain_grace", 1_500_000),
                r.time("ask_within", 10_000_000),
                r.number("fall_multiple", Measure.NUMBER, 3),
                r.time("fall", 2_000_000),
                (int) r.number("max_attempts", Measure.COUNT, 5),
                r.flag("second_copies", false),
                r.flag("cancel", true),
                r.flag("probes", true),
                r.time("max_retry_after", 1_500_000));
        r.rejectUnknownKeys();
        Section g = root.table("goal");
        WorldPlan.Goal goal = new WorldPlan.Goal(
                g.number("whole", Measure.SHARE, 1),
                g.number("worst_window", Measure.SHARE, 0),
                g.number("worst_class", Measure.SHARE, 0),
                g.number("worst_tenant", Measure.SHARE, 0));
        double sum = goal.whole() + goal.worstWindow() + goal.worstClass() + goal.worstTenant();
        if (Math.abs(sum - 1) > 1e-6) {
            g.fault("whole", "the weights of [goal] add up to " + sum + ", not to 1");
        }
        g.rejectUnknownKeys();
        Section p = root.table("prices");
        WorldPlan.Prices prices = new WorldPlan.Prices(
                p.number("cross_zone", Measure.SHARE, 0),
                p.number("waste", Measure.SHARE, 0),
                p.number("probe", Measure.SHARE, 0),
                p.number("late_fail", Measure.SHARE, 0),
                p.number("handshake", Measure.SHARE, 0));
        p.rejectUnknownKeys();
        List<WorldPlan.Kind> kinds = kinds(root);
        return new WorldPlan(
                length,
                balancers,
                upstreams,
                zones,
                load,
                network,
                clients,
                discovery,
                rules,
                goal,
                prices,
                fleet(root),
                kinds,
                classes(root),
                tenants(root),
                faults(root, kinds));
    }

    private static WorldPlan.Fleet fleet(Section root) {
        Section f = root.table("fleet");
        WorldPlan.Fleet fleet = new WorldPlan.Fleet(
                range(f, "rack_size", Measure.COUNT, Range.of(4)),
                range(f, "limited_racks", Measure.SHARE, NONE),
                range(f, "rack_limit", Measure.SHARE, ONE),
                range(f, "handshake_rtts", Measure.NUMBER, ONE),
                range(f, "handshake_work", Measure.TIME, NONE),
                f.time("idle", 60_000_000),
                f.time("connect_timeout", 100_000),
                range(f, "connections_per_core", Measure.NUMBER, Range.of(1000)),
                range(f, "full_tax", Measure.SHARE, NONE),
                range(f, "key_gain", Measure.SHARE, NONE),
                range(f, "key_memory", Measure.TIME, NONE),
                range(f, "keys_per_core", Measure.NUMBER, NONE));
        f.rejectUnknownKeys();
        return fleet;
    }

    private static List<WorldPlan.Kind> kinds(Section root) {
        List<WorldPlan.Kind> all = new ArrayList<>();
        for (Section k : root.tables("kind")) {
            all.add(new WorldPlan.Kind(
                    k.text("name", null),
                    range(k, "share", Measure.NUMBER, ONE),
                    (int) k.number("cores", Measure.COUNT, 1),
                    range(k, "speed", Measure.NUMBER, ONE),
                    range(k, "speed_cv", Measure.SHARE, NONE),
                    range(k, "slots_per_core", Measure.NUMBER, Range.of(4)),
                    range(k, "queue_per_core", Measure.NUMBER, Range.of(20)),
                    k.number("thrash", Measure.NUMBER, 0),
                    range(k, "thrash_at", Measure.NUMBER, Range.of(8)),
                    range(k, "cold_from", Measure.SHARE, ONE),
                    range(k, "cold", Measure.TIME, NONE),
                    k.word("warm_by", WorldPlan.WarmBy.class, WorldPlan.WarmBy.TIME),
                    range(k, "errors", Measure.SHARE, NONE),
                    k.number("cancel_drops", Measure.SHARE, 0),
                    k.text("pool", WorldPlan.Kind.SITE)));
            k.rejectUnknownKeys();
        }
        if (all.isEmpty()) {
            root.fault("kind", "no [[kind]] of upstream: one at least is wanted");
        }
        return all;
    }

    private static List<WorldPlan.RequestKind> classes(Section root) {
        List<WorldPlan.RequestKind> all = new ArrayList<>();
        for (Section k : root.tables("class")) {
            long latencyObjectiveMicros = k.time("aim");
            long deadline = k.time("deadline");
            if (latencyObjectiveMicros <= 0 || deadline < latencyObjectiveMicros) {
                k.fault("deadline", "'deadline' is before the aim");
            }
            all.add(new WorldPlan.RequestKind(
                    k.text("name", null),
                    range(k, "share", Measure.NUMBER, ONE),
                    range(k, "work", Measure.TIME),
                    k.word("dist", WorldPlan.Spread.class, WorldPlan.Spread.EXPONENTIAL),
                    range(k, "cv", Measure.NUMBER, ONE),
                    range(k, "attempt_noise", Measure.NUMBER, NONE),
                    latencyObjectiveMicros,
                    Math.max(latencyObjectiveMicros, deadline),
                    k.number("worth", Measure.NUMBER, 1),
                    k.number("late_worth", Measure.SHARE, 0),
                    k.word("effect", ProtocolNames.IDEMPOTENCY, Idempotency.IDEMPOTENT)));
            k.rejectUnknownKeys();
        }
        if (all.isEmpty()) {
            root.fault("class", "no [[class]] of requests: one at least is wanted");
        }
        return all;
    }

    private static List<WorldPlan.Tenant> tenants(Section root) {
        List<WorldPlan.Tenant> all = new ArrayList<>();
        for (Section t : root.tables("tenant")) {
            all.add(new WorldPlan.Tenant(
                    t.text("name", null), t.number("share", Measure.SHARE), range(t, "usage", Measure.NUMBER, ONE)));
            t.rejectUnknownKeys();
        }
        return all;
    }

    private static List<WorldPlan.Fault> faults(Section root, List<WorldPlan.Kind> ofFleet) {
        List<String> pools =
                ofFleet.stream().map(WorldPlan.Kind::pool).distinct().toList();
        List<WorldPlan.Fault> all = new ArrayList<>();
        Map<String, String> kinds = Timeline.KINDS;
        for (Section t : root.tables("trouble")) {
            String kind = t.text("kind", null);
            if (!kinds.containsKey(kind)) {
                t.fault(
                        "kind",
                        "no trouble '" + kind + "'; there are "
                                + String.join(
                                        ", ", kinds.keySet().stream().sorted().toList())
                                + Suggestion.didYouMean(kind, kinds.keySet()));
            }
            WorldPlan.Fault fault = new WorldPlan.Fault(
                    kind,
                    range(t, "at", Measure.TIME),
                    range(t, "length", Measure.TIME, Range.of(1_000_000)),
                    range(t, "part", Measure.SHARE, ONE),
                    range(t, "size", Measure.NUMBER, NONE),
                    range(t, "extra", Measure.SIGNED, NONE),
                    t.has("of") ? t.text("of", null) : null);
            if (fault.pool() != null && !pools.contains(fault.pool())) {
                t.fault(
                        "of",
                        "no [[kind]] is of pool '" + fault.pool() + "'" + Suggestion.didYouMean(fault.pool(), pools));
            }
            all.add(fault);
            t.rejectUnknownKeys();
        }
        return all;
    }
}
