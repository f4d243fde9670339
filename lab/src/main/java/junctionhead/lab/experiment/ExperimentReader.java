package junctionhead.lab.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import junctionhead.lab.experiment.Section.Measure;
import junctionhead.lab.judge.Score;
import junctionhead.lab.policies.Choosers;
import junctionhead.lab.variants.Variants;
import junctionhead.lab.variants.Variants.Variant;
import junctionhead.lab.world.Range;
import junctionhead.lab.world.Timeline;
import junctionhead.lab.world.WorldPlan;
import junctionhead.policy.Policy;

/** Reads experiments, strictly: every fault is named, with file and line, before anything runs. */
public final class ExperimentReader {
    private static final Range NONE = Range.of(0);
    private static final Range ONE = Range.of(1);

    private ExperimentReader() { }

    /**
     * Reads the experiment in {@code file} with all that it includes.
     *
     * @throws Faults with all that is wrong with it
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
        head.done();
        WorldPlan plan = plan(root);
        List<Variant> variants = variants(root, plan);
        root.done();
        source.check();
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
        source.check();
        return new Experiment(name, question, plan, firstSeed, seeds, variants, expectations);
    }

    private static List<Variant> variants(Section root, WorldPlan plan) {
        double fast = plan.kinds().isEmpty() ? 0.5 : plan.kinds().get(0).share().middle();
        List<Variant> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section s : root.tables("variant")) {
            String policy = s.text("policy", null);
            String name = s.text("name", policy);
            if (!Variants.names().contains(policy)) {
                s.fault("policy", "no policy '" + policy + "'; there are " + String.join(", ", Variants.names())
                    + Section.meant(policy, Variants.names()));
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
            s.done();
            all.add(new Variant(name, policy, new Choosers.Figures(Math.max(1, d), Math.min(a, d), share)));
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
        Range balancers = w.range("balancers", Measure.COUNT);
        Range upstreams = w.range("upstreams", Measure.NUMBER);
        List<String> zones = w.texts("zones", List.of("here"));
        if (zones.isEmpty()) {
            w.fault("zones", "'zones' is empty: one at least is wanted");
        }
        w.done();
        Section l = root.table("load");
        WorldPlan.Load load = new WorldPlan.Load(l.range("level", Measure.NUMBER),
            l.word("shape", WorldPlan.Shape.class, WorldPlan.Shape.STEADY), l.range("swing", Measure.SHARE, NONE),
            l.range("zone_skew", Measure.SHARE, NONE), l.range("keys", Measure.NUMBER, NONE),
            l.range("key_zipf", Measure.NUMBER, NONE), l.range("quota", Measure.NUMBER, ONE));
        l.done();
        Section n = root.table("network");
        WorldPlan.Network network = new WorldPlan.Network(n.range("same", Measure.TIME),
            n.range("cross", Measure.TIME, Range.of(1000)), n.range("client", Measure.TIME, Range.of(500)),
            n.range("jitter", Measure.SHARE, NONE), n.number("loss", Measure.SHARE, 0));
        n.done();
        Section c = root.table("clients");
        WorldPlan.Clients clients = new WorldPlan.Clients(c.range("retries", Measure.NUMBER, NONE),
            c.range("try_share", Measure.SHARE, ONE), c.range("backoff", Measure.TIME, Range.of(50_000)),
            c.range("honour", Measure.SHARE, ONE), c.range("impatient", Measure.SHARE, NONE),
            c.range("notice", Measure.TIME, Range.of(2_000_000)), c.flag("marks_retry", false));
        c.done();
        Section d = root.table("discovery");
        String mode = d.text("mode", "push");
        if (!Set.of("ask", "push").contains(mode)) {
            d.fault("mode", "'mode' is \"" + mode + "\"; there are ask, push");
        }
        WorldPlan.Discovery discovery = new WorldPlan.Discovery(mode.equals("ask"),
            d.range("notice", Measure.TIME, Range.of(1_000_000)),
            d.range("silent_notice", Measure.TIME, Range.of(5_000_000)),
            d.range("add", Measure.TIME, Range.of(500_000)), d.range("period", Measure.TIME, Range.of(200_000)),
            d.range("spread", Measure.TIME, Range.of(50_000)), d.range("capacity", Measure.NUMBER, Range.of(1000)),
            d.range("call_lines", Measure.COUNT, Range.of(1000)), d.time("timeout", 2_000_000));
        d.done();
        Section r = root.table("rules");
        WorldPlan.Rules rules = new WorldPlan.Rules(r.time("answer_slack", 20_000), r.time("drain_grace", 1_500_000),
            r.time("ask_within", 10_000_000), r.number("fall_multiple", Measure.NUMBER, 3),
            r.time("fall", 2_000_000), (int) r.number("max_attempts", Measure.COUNT, 5),
            r.flag("second_copies", false), r.flag("cancel", true), r.flag("probes", true),
            r.time("max_retry_after", 1_500_000));
        r.done();
        Section g = root.table("goal");
        WorldPlan.Goal goal = new WorldPlan.Goal(g.number("whole", Measure.SHARE, 1),
            g.number("worst_window", Measure.SHARE, 0), g.number("worst_class", Measure.SHARE, 0),
            g.number("worst_tenant", Measure.SHARE, 0));
        double sum = goal.whole() + goal.worstWindow() + goal.worstClass() + goal.worstTenant();
        if (Math.abs(sum - 1) > 1e-6) {
            g.fault("whole", "the weights of [goal] add up to " + sum + ", not to 1");
        }
        g.done();
        Section p = root.table("prices");
        WorldPlan.Prices prices = new WorldPlan.Prices(p.number("cross_zone", Measure.SHARE, 0),
            p.number("waste", Measure.SHARE, 0), p.number("probe", Measure.SHARE, 0),
            p.number("late_fail", Measure.SHARE, 0), p.number("handshake", Measure.SHARE, 0));
        p.done();
        return new WorldPlan(length, balancers, upstreams, zones, load, network, clients, discovery, rules, goal,
            prices, fleet(root), kinds(root), classes(root), tenants(root), troubles(root));
    }

    private static WorldPlan.Fleet fleet(Section root) {
        Section f = root.table("fleet");
        WorldPlan.Fleet fleet = new WorldPlan.Fleet(f.range("rack_size", Measure.COUNT, Range.of(4)),
            f.range("limited_racks", Measure.SHARE, NONE), f.range("rack_limit", Measure.SHARE, ONE),
            f.range("handshake_rtts", Measure.NUMBER, ONE), f.range("handshake_work", Measure.TIME, NONE),
            f.time("idle", 60_000_000), f.time("connect_timeout", 100_000),
            f.range("connections_per_core", Measure.NUMBER, Range.of(1000)), f.range("full_tax", Measure.SHARE, NONE),
            f.range("key_gain", Measure.SHARE, NONE), f.range("key_memory", Measure.TIME, NONE),
            f.range("keys_per_core", Measure.NUMBER, NONE));
        f.done();
        return fleet;
    }

    private static List<WorldPlan.Kind> kinds(Section root) {
        List<WorldPlan.Kind> all = new ArrayList<>();
        for (Section k : root.tables("kind")) {
            all.add(new WorldPlan.Kind(k.text("name", null), k.range("share", Measure.NUMBER, ONE),
                (int) k.number("cores", Measure.COUNT, 1), k.range("speed", Measure.NUMBER, ONE),
                k.range("speed_cv", Measure.SHARE, NONE), k.range("slots_per_core", Measure.NUMBER, Range.of(4)),
                k.range("queue_per_core", Measure.NUMBER, Range.of(20)), k.number("thrash", Measure.NUMBER, 0),
                k.range("thrash_at", Measure.NUMBER, Range.of(8)), k.range("cold_from", Measure.SHARE, ONE),
                k.range("cold", Measure.TIME, NONE), k.word("warm_by", WorldPlan.WarmBy.class, WorldPlan.WarmBy.TIME),
                k.range("errors", Measure.SHARE, NONE), k.number("cancel_drops", Measure.SHARE, 0)));
            k.done();
        }
        if (all.isEmpty()) {
            root.fault("kind", "no [[kind]] of upstream: one at least is wanted");
        }
        return all;
    }

    private static List<WorldPlan.RequestKind> classes(Section root) {
        List<WorldPlan.RequestKind> all = new ArrayList<>();
        for (Section k : root.tables("class")) {
            long aim = k.time("aim");
            long deadline = k.time("deadline");
            if (aim <= 0 || deadline < aim) {
                k.fault("deadline", "'deadline' is before the aim");
            }
            all.add(new WorldPlan.RequestKind(k.text("name", null), k.range("share", Measure.NUMBER, ONE),
                k.range("work", Measure.TIME), k.word("dist", WorldPlan.Spread.class, WorldPlan.Spread.EXPONENTIAL),
                k.range("cv", Measure.NUMBER, ONE), k.range("attempt_noise", Measure.NUMBER, NONE), aim,
                Math.max(aim, deadline), k.number("worth", Measure.NUMBER, 1),
                k.number("late_worth", Measure.SHARE, 0),
                k.word("effect", Policy.Effect.class, Policy.Effect.SAFE)));
            k.done();
        }
        if (all.isEmpty()) {
            root.fault("class", "no [[class]] of requests: one at least is wanted");
        }
        return all;
    }

    private static List<WorldPlan.Tenant> tenants(Section root) {
        List<WorldPlan.Tenant> all = new ArrayList<>();
        for (Section t : root.tables("tenant")) {
            all.add(new WorldPlan.Tenant(t.text("name", null), t.number("share", Measure.SHARE),
                t.range("usage", Measure.NUMBER, ONE)));
            t.done();
        }
        return all;
    }

    private static List<WorldPlan.Trouble> troubles(Section root) {
        List<WorldPlan.Trouble> all = new ArrayList<>();
        Map<String, String> kinds = Timeline.KINDS;
        for (Section t : root.tables("trouble")) {
            String kind = t.text("kind", null);
            if (!kinds.containsKey(kind)) {
                t.fault("kind", "no trouble '" + kind + "'; there are "
                    + String.join(", ", kinds.keySet().stream().sorted().toList())
                    + Section.meant(kind, kinds.keySet()));
            }
            all.add(new WorldPlan.Trouble(kind, t.range("at", Measure.TIME),
                t.range("length", Measure.TIME, Range.of(1_000_000)), t.range("part", Measure.SHARE, ONE),
                t.range("size", Measure.NUMBER, NONE), t.range("extra", Measure.SIGNED, NONE)));
            t.done();
        }
        return all;
    }
}
