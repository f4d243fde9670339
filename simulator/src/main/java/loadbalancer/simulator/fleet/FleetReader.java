package loadbalancer.simulator.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.discovery.EndpointSubset;
import loadbalancer.toml.ConfigException;
import loadbalancer.toml.Measure;
import loadbalancer.toml.Section;
import loadbalancer.toml.Source;
import loadbalancer.toml.Suggestion;

/** Reads the files of scale runs, strictly: every fault is named, with file and line, before anything runs. */
public final class FleetReader {
    private static final double HOUR = 3600;
    private static final double DAY = 24 * HOUR;
    private static final int MOST = 10_000_000;
    private static final long RUN_HEAP = 40L << 20; // -Xmx of the run line

    private FleetReader() {}

    /**
     * Reads the file with all that it includes.
     *
     * @throws ConfigException with all that is wrong with it
     * @throws IOException where it can't be read
     */
    public static FleetPlan read(Path file) throws IOException {
        Source source = Source.read(file);
        Section root = new Section(source, source.tree(), "");
        Section head = root.table("experiment");
        String name = head.text("name", file.getFileName().toString().replace(".toml", ""));
        String question = head.text("question", "");
        long seed = whole(head, "seed", 1);
        head.rejectUnknownKeys();
        FleetPlan.Fleet fleet = fleet(root.table("fleet"));
        Churn.Rates churn = churn(root.table("churn"));
        Section d = root.table("discovery");
        FleetPlan.Discovery discovery =
                new FleetPlan.Discovery(d.time("call_time", 0), d.time("call_timeout", 2_000_000), (int)
                        d.number("kept", Measure.COUNT, 1_000));
        d.rejectUnknownKeys();
        FleetPlan.Restart restart = null;
        if (root.has("restart")) {
            Section r = root.table("restart");
            restart = new FleetPlan.Restart(r.flag("known", false));
            r.rejectUnknownKeys();
        }
        FleetPlan.Outage outage = root.has("outage") ? outage(root.table("outage")) : null;
        List<FleetPlan.Sweep> sweeps = sweeps(root);
        root.rejectUnknownKeys();
        source.throwIfFaulty();
        return new FleetPlan(name, question, seed, fleet, churn, discovery, restart, outage, sweeps);
    }

    private static FleetPlan.Fleet fleet(Section f) {
        String mode = f.text("mode", "ask");
        if (!Set.of("ask", "push").contains(mode)) {
            f.fault("mode", "'mode' is \"" + mode + "\"; there are ask, push");
        }
        List<String> zones = f.texts("zones", List.of("a", "b", "c"));
        if (zones.isEmpty()) {
            f.fault("zones", "'zones' is empty: one at least is wanted");
        }
        FleetPlan.Fleet fleet = new FleetPlan.Fleet(
                mode.equals("ask"),
                count(f, "balancers", 10),
                count(f, "upstreams", 100),
                (int) whole(f, "real", 0),
                f.number("load_per_s", Measure.NUMBER, 50),
                f.number("decisions_per_s", Measure.NUMBER, 0),
                count(f, "loops", 2),
                zones,
                count(f, "rack_size", 40),
                f.time("idle", 10_000_000),
                f.time("length", 20_000_000),
                f.time("reach", 60_000_000),
                count(f, "upstreams_most", EndpointSubset.maxEndpointsForHeap(RUN_HEAP)));
        f.rejectUnknownKeys();
        return fleet;
    }

    private static Churn.Rates churn(Section c) {
        Churn.Rates rates = new Churn.Rates(
                c.number("machines_per_hour", Measure.NUMBER, 0) / HOUR,
                c.number("racks_per_hour", Measure.NUMBER, 0) / HOUR,
                c.number("zones_per_hour", Measure.NUMBER, 0) / HOUR,
                c.number("configurations_per_day", Measure.NUMBER, 0) / DAY,
                c.number("speed", Measure.NUMBER, 1),
                c.time("drain", 2_000_000),
                c.time("gone", 1_000_000));
        c.rejectUnknownKeys();
        return rates;
    }

    private static FleetPlan.Outage outage(Section o) {
        FleetPlan.Outage outage = new FleetPlan.Outage(
                o.word("kind", FleetPlan.Kind.class, null), o.time("length", 10_000_000), o.time("call_time", 100_000));
        o.rejectUnknownKeys();
        return outage;
    }

    private static int count(Section s, String key, int otherwise) {
        return (int) Math.min(MOST, Math.round(s.number(key, Measure.COUNT, otherwise)));
    }

    private static long whole(Section s, String key, long otherwise) {
        double read = s.number(key, Measure.NUMBER, otherwise);
        if (read != Math.rint(read)) {
            s.fault(key, "'" + key + "' is " + read + ": a whole number is wanted");
        }
        return Math.round(read);
    }

    private static List<FleetPlan.Sweep> sweeps(Section root) {
        List<FleetPlan.Sweep> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section a : root.tables("axis")) {
            String name = a.text("name", null);
            if (name != null && !Axes.names().contains(name)) {
                a.fault(
                        "name",
                        "no axis '" + name + "'; there are " + String.join(", ", Axes.names())
                                + Suggestion.didYouMean(name, Axes.names()));
            }
            if (!names.add(String.valueOf(name))) {
                a.fault("name", "the axis '" + name + "' is there already");
            }
            all.add(new FleetPlan.Sweep(String.valueOf(name), sizes(a)));
            a.rejectUnknownKeys();
        }
        if (all.isEmpty()) {
            root.fault("axis", "no [[axis]]: one at least is wanted, with its name and sizes");
        }
        return all;
    }

    private static List<Long> sizes(Section a) {
        List<Long> sizes = new ArrayList<>();
        for (String text : a.texts("sizes", List.of())) {
            boolean sound = text.matches("[0-9]{1,9}") && Long.parseLong(text) >= 1;
            if (!sound || Long.parseLong(text) > MOST) {
                a.fault("sizes", "'sizes' holds " + text + ": whole numbers from 1 to " + MOST + " are wanted");
                return List.of(1L);
            }
            long size = Long.parseLong(text);
            if (!sizes.isEmpty() && size <= sizes.get(sizes.size() - 1)) {
                a.fault(
                        "sizes",
                        "'sizes' holds " + size + " behind " + sizes.get(sizes.size() - 1)
                                + ": each must be larger than the one before");
                return List.of(1L);
            }
            sizes.add(size);
        }
        if (sizes.isEmpty()) {
            a.fault("sizes", "'sizes' is missing or empty: whole numbers from 1 to " + MOST + " are wanted");
        }
        return sizes;
    }
}
