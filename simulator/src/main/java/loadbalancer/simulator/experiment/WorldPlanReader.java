package loadbalancer.simulator.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.policy.Idempotency;
import loadbalancer.settings.ProtocolNames;
import loadbalancer.simulator.world.FaultKinds;
import loadbalancer.simulator.world.Range;
import loadbalancer.simulator.world.WorldPlan;
import loadbalancer.toml.Measure;
import loadbalancer.toml.Section;
import loadbalancer.toml.Suggestion;

/**
 * Reads the world of an experiment. Here, and in {@link RoutingReader}, the words of experiment files stand beside the
 * terms of the code: {@code aim} is a latency objective, {@code worth} a priority weight, {@code ask_within} the poll
 * interval, {@code cold_from} the initial weight of slow start, {@code trouble} a fault, {@code part} the fraction of
 * what it concerns. {@code ExperimentWriter} writes the same words.
 */
final class WorldPlanReader {
    private static final Range NONE = Range.of(0);
    private static final Range ONE = Range.of(1);

    private WorldPlanReader() {}

    /** Reads all tables of a world; faults found are noted at their {@link Section}. */
    static WorldPlan read(Section root) {
        Section world = root.table("world");
        long length = world.time("length");
        if (length < 1_000_000) {
            world.fault("length", "'length' is under a second");
        }
        Range balancers = range(world, "balancers", Measure.COUNT);
        Range upstreams = range(world, "upstreams", Measure.NUMBER);
        List<String> zones = world.texts("zones", List.of("here"));
        if (zones.isEmpty()) {
            world.fault("zones", "'zones' is empty: one at least is wanted");
        }
        world.rejectUnknownKeys();
        WorldPlan.Load load = load(root);
        WorldPlan.Network network = network(root);
        WorldPlan.Clients clients = clients(root);
        WorldPlan.Discovery discovery = discovery(root);
        WorldPlan.Rules rules = rules(root);
        WorldPlan.Goal goal = goal(root);
        WorldPlan.Prices prices = prices(root);
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

    private static WorldPlan.Load load(Section root) {
        Section section = root.table("load");
        WorldPlan.Load load = new WorldPlan.Load(
                range(section, "level", Measure.NUMBER),
                section.choice("shape", WorldPlan.Shape.class, WorldPlan.Shape.STEADY),
                range(section, "swing", Measure.SHARE, NONE),
                range(section, "zone_skew", Measure.SHARE, NONE),
                range(section, "keys", Measure.NUMBER, NONE),
                range(section, "key_zipf", Measure.NUMBER, NONE),
                range(section, "quota", Measure.NUMBER, ONE));
        section.rejectUnknownKeys();
        return load;
    }

    private static WorldPlan.Network network(Section root) {
        Section section = root.table("network");
        WorldPlan.Network network = new WorldPlan.Network(
                range(section, "same", Measure.TIME),
                range(section, "cross", Measure.TIME, Range.of(1000)),
                range(section, "client", Measure.TIME, Range.of(500)),
                range(section, "jitter", Measure.SHARE, NONE),
                section.number("loss", Measure.SHARE, 0));
        section.rejectUnknownKeys();
        return network;
    }

    private static WorldPlan.Clients clients(Section root) {
        Section section = root.table("clients");
        WorldPlan.Clients clients = new WorldPlan.Clients(
                range(section, "retries", Measure.NUMBER, NONE),
                range(section, "try_share", Measure.SHARE, ONE),
                range(section, "backoff", Measure.TIME, Range.of(50_000)),
                range(section, "honour", Measure.SHARE, ONE),
                range(section, "impatient", Measure.SHARE, NONE),
                range(section, "notice", Measure.TIME, Range.of(2_000_000)),
                section.flag("marks_retry", false));
        section.rejectUnknownKeys();
        return clients;
    }

    private static WorldPlan.Discovery discovery(Section root) {
        Section section = root.table("discovery");
        String mode = section.text("mode", "push");
        if (!Set.of("ask", "push").contains(mode)) {
            section.fault("mode", "'mode' is \"" + mode + "\"; there are ask, push");
        }
        WorldPlan.Discovery discovery = new WorldPlan.Discovery(
                mode.equals("ask"),
                range(section, "notice", Measure.TIME, Range.of(1_000_000)),
                range(section, "silent_notice", Measure.TIME, Range.of(5_000_000)),
                range(section, "add", Measure.TIME, Range.of(500_000)),
                range(section, "period", Measure.TIME, Range.of(200_000)),
                range(section, "spread", Measure.TIME, Range.of(50_000)),
                range(section, "capacity", Measure.NUMBER, Range.of(1000)),
                range(section, "call_lines", Measure.COUNT, Range.of(1000)),
                section.time("timeout", 2_000_000));
        section.rejectUnknownKeys();
        return discovery;
    }

    private static WorldPlan.Rules rules(Section root) {
        Section section = root.table("rules");
        WorldPlan.Rules rules = new WorldPlan.Rules(
                section.time("answer_slack", 20_000),
                section.time("drain_grace", 1_500_000),
                section.time("ask_within", 10_000_000),
                section.number("fall_multiple", Measure.NUMBER, 3),
                section.time("fall", 2_000_000),
                (int) section.number("max_attempts", Measure.COUNT, 5),
                section.flag("second_copies", false),
                section.flag("cancel", true),
                section.flag("probes", true),
                section.time("max_retry_after", 1_500_000));
        section.rejectUnknownKeys();
        return rules;
    }

    private static WorldPlan.Goal goal(Section root) {
        Section section = root.table("goal");
        WorldPlan.Goal goal = new WorldPlan.Goal(
                section.number("whole", Measure.SHARE, 1),
                section.number("worst_window", Measure.SHARE, 0),
                section.number("worst_class", Measure.SHARE, 0),
                section.number("worst_tenant", Measure.SHARE, 0));
        double sum = goal.whole() + goal.worstWindow() + goal.worstClass() + goal.worstTenant();
        if (Math.abs(sum - 1) > 1e-6) {
            section.fault("whole", "the weights of [goal] add up to " + sum + ", not to 1");
        }
        section.rejectUnknownKeys();
        return goal;
    }

    private static WorldPlan.Prices prices(Section root) {
        Section section = root.table("prices");
        WorldPlan.Prices prices = new WorldPlan.Prices(
                section.number("cross_zone", Measure.SHARE, 0),
                section.number("waste", Measure.SHARE, 0),
                section.number("probe", Measure.SHARE, 0),
                section.number("late_fail", Measure.SHARE, 0),
                section.number("handshake", Measure.SHARE, 0));
        section.rejectUnknownKeys();
        return prices;
    }

    private static WorldPlan.Fleet fleet(Section root) {
        Section section = root.table("fleet");
        WorldPlan.Fleet fleet = new WorldPlan.Fleet(
                range(section, "rack_size", Measure.COUNT, Range.of(4)),
                range(section, "limited_racks", Measure.SHARE, NONE),
                range(section, "rack_limit", Measure.SHARE, ONE),
                range(section, "handshake_rtts", Measure.NUMBER, ONE),
                range(section, "handshake_work", Measure.TIME, NONE),
                section.time("idle", 60_000_000),
                section.time("connect_timeout", 100_000),
                range(section, "connections_per_core", Measure.NUMBER, Range.of(1000)),
                range(section, "full_tax", Measure.SHARE, NONE),
                range(section, "key_gain", Measure.SHARE, NONE),
                range(section, "key_memory", Measure.TIME, NONE),
                range(section, "keys_per_core", Measure.NUMBER, NONE));
        section.rejectUnknownKeys();
        return fleet;
    }

    private static List<WorldPlan.Kind> kinds(Section root) {
        List<WorldPlan.Kind> all = new ArrayList<>();
        for (Section section : root.tables("kind")) {
            all.add(new WorldPlan.Kind(
                    section.text("name", null),
                    range(section, "share", Measure.NUMBER, ONE),
                    (int) section.number("cores", Measure.COUNT, 1),
                    range(section, "speed", Measure.NUMBER, ONE),
                    range(section, "speed_cv", Measure.SHARE, NONE),
                    range(section, "slots_per_core", Measure.NUMBER, Range.of(4)),
                    range(section, "queue_per_core", Measure.NUMBER, Range.of(20)),
                    section.number("thrash", Measure.NUMBER, 0),
                    range(section, "thrash_at", Measure.NUMBER, Range.of(8)),
                    range(section, "cold_from", Measure.SHARE, ONE),
                    range(section, "cold", Measure.TIME, NONE),
                    section.choice("warm_by", WorldPlan.WarmBy.class, WorldPlan.WarmBy.TIME),
                    range(section, "errors", Measure.SHARE, NONE),
                    section.number("cancel_drops", Measure.SHARE, 0),
                    section.text("pool", WorldPlan.Kind.DEFAULT_POOL)));
            section.rejectUnknownKeys();
        }
        if (all.isEmpty()) {
            root.fault("kind", "no [[kind]] of upstream: one at least is wanted");
        }
        return all;
    }

    private static List<WorldPlan.RequestClassPlan> classes(Section root) {
        List<WorldPlan.RequestClassPlan> all = new ArrayList<>();
        for (Section section : root.tables("class")) {
            long latencyObjectiveMicros = section.time("aim");
            long deadline = section.time("deadline");
            if (latencyObjectiveMicros <= 0 || deadline < latencyObjectiveMicros) {
                section.fault("deadline", "'deadline' is before the aim");
            }
            all.add(new WorldPlan.RequestClassPlan(
                    section.text("name", null),
                    range(section, "share", Measure.NUMBER, ONE),
                    range(section, "work", Measure.TIME),
                    section.choice("dist", WorldPlan.Spread.class, WorldPlan.Spread.EXPONENTIAL),
                    range(section, "cv", Measure.NUMBER, ONE),
                    range(section, "attempt_noise", Measure.NUMBER, NONE),
                    latencyObjectiveMicros,
                    Math.max(latencyObjectiveMicros, deadline),
                    section.number("worth", Measure.NUMBER, 1),
                    section.number("late_worth", Measure.SHARE, 0),
                    section.choice("effect", ProtocolNames.IDEMPOTENCY, Idempotency.IDEMPOTENT)));
            section.rejectUnknownKeys();
        }
        if (all.isEmpty()) {
            root.fault("class", "no [[class]] of requests: one at least is wanted");
        }
        return all;
    }

    private static List<WorldPlan.Tenant> tenants(Section root) {
        List<WorldPlan.Tenant> all = new ArrayList<>();
        for (Section section : root.tables("tenant")) {
            all.add(new WorldPlan.Tenant(
                    section.text("name", null),
                    section.number("share", Measure.SHARE),
                    range(section, "usage", Measure.NUMBER, ONE)));
            section.rejectUnknownKeys();
        }
        return all;
    }

    private static List<WorldPlan.Fault> faults(Section root, List<WorldPlan.Kind> ofFleet) {
        List<String> pools =
                ofFleet.stream().map(WorldPlan.Kind::pool).distinct().toList();
        List<WorldPlan.Fault> all = new ArrayList<>();
        Map<String, String> kinds = FaultKinds.DESCRIPTIONS;
        for (Section section : root.tables("trouble")) {
            String kind = section.text("kind", null);
            if (!kinds.containsKey(kind)) {
                section.fault(
                        "kind",
                        "no trouble '" + kind + "'; there are "
                                + String.join(
                                        ", ", kinds.keySet().stream().sorted().toList())
                                + Suggestion.didYouMean(kind, kinds.keySet()));
            }
            WorldPlan.Fault fault = new WorldPlan.Fault(
                    kind,
                    range(section, "at", Measure.TIME),
                    range(section, "length", Measure.TIME, Range.of(1_000_000)),
                    range(section, "part", Measure.SHARE, ONE),
                    range(section, "size", Measure.NUMBER, NONE),
                    range(section, "extra", Measure.SIGNED, NONE),
                    section.has("of") ? section.text("of", null) : null);
            if (fault.pool() != null && !pools.contains(fault.pool())) {
                section.fault(
                        "of",
                        "no [[kind]] is of pool '" + fault.pool() + "'" + Suggestion.didYouMean(fault.pool(), pools));
            }
            all.add(fault);
            section.rejectUnknownKeys();
        }
        return all;
    }

    private static Range range(Section section, String key, Measure measure) {
        double[] pair = section.range(key, measure);
        return new Range(pair[0], pair[1]);
    }

    private static Range range(Section section, String key, Measure measure, Range otherwise) {
        return section.has(key) ? range(section, key, measure) : otherwise;
    }
}
