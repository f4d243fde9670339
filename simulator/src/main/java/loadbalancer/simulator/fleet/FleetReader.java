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

    private static FleetPlan.Fleet fleet(Section section) {
        String mode = section.text("mode", "ask");
        if (!Set.of("ask", "push").contains(mode)) {
            section.fault("mode", "'mode' is \"" + mode + "\"; there are ask, push");
        }
        List<String> zones = section.texts("zones", List.of("a", "b", "c"));
        if (zones.isEmpty()) {
            section.fault("zones", "'zones' is empty: one at least is wanted");
        }
        FleetPlan.Fleet fleet = new FleetPlan.Fleet(
                mode.equals("ask"),
                count(section, "balancers", 10),
                count(section, "upstreams", 100),
                (int) whole(section, "real", 0),
                section.number("load_per_s", Measure.NUMBER, 50),
                section.number("decisions_per_s", Measure.NUMBER, 0),
                count(section, "loops", 2),
                zones,
                count(section, "rack_size", 40),
                section.time("idle", 10_000_000),
                section.time("length", 20_000_000),
                section.time("reach", 60_000_000),
                count(section, "upstreams_most", EndpointSubset.maxEndpointsForHeap(RUN_HEAP)));
        section.rejectUnknownKeys();
        return fleet;
    }

    private static Churn.Rates churn(Section section) {
        Churn.Rates rates = new Churn.Rates(
                section.number("machines_per_hour", Measure.NUMBER, 0) / HOUR,
                section.number("racks_per_hour", Measure.NUMBER, 0) / HOUR,
                section.number("zones_per_hour", Measure.NUMBER, 0) / HOUR,
                section.number("configurations_per_day", Measure.NUMBER, 0) / DAY,
                section.number("speed", Measure.NUMBER, 1),
                section.time("drain", 2_000_000),
                section.time("gone", 1_000_000));
        section.rejectUnknownKeys();
        return rates;
    }

    private static FleetPlan.Outage outage(Section section) {
        FleetPlan.Outage outage = new FleetPlan.Outage(
                section.choice("kind", FleetPlan.Kind.class, null),
                section.time("length", 10_000_000),
                section.time("call_time", 100_000));
        section.rejectUnknownKeys();
        return outage;
    }

    private static int count(Section section, String key, int otherwise) {
        return (int) Math.min(MOST, Math.round(section.number(key, Measure.COUNT, otherwise)));
    }

    private static long whole(Section section, String key, long otherwise) {
        double read = section.number(key, Measure.NUMBER, otherwise);
        if (read != Math.rint(read)) {
            section.fault(key, "'" + key + "' is " + read + ": a whole number is wanted");
        }
        return Math.round(read);
    }

    private static List<FleetPlan.Sweep> sweeps(Section root) {
        List<FleetPlan.Sweep> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section section : root.tables("axis")) {
            String name = section.text("name", null);
            if (name != null && !Axes.names().contains(name)) {
                section.fault(
                        "name",
                        "no axis '" + name + "'; there are " + String.join(", ", Axes.names())
                                + Suggestion.didYouMean(name, Axes.names()));
            }
            if (!names.add(String.valueOf(name))) {
                section.fault("name", "the axis '" + name + "' is there already");
            }
            all.add(new FleetPlan.Sweep(String.valueOf(name), sizes(section)));
            section.rejectUnknownKeys();
        }
        if (all.isEmpty()) {
            root.fault("axis", "no [[axis]]: one at least is wanted, with its name and sizes");
        }
        return all;
    }

    private static List<Long> sizes(Section section) {
        List<Long> sizes = new ArrayList<>();
        for (String text : section.texts("sizes", List.of())) {
            boolean sound = text.matches("[0-9]{1,9}") && Long.parseLong(text) >= 1;
            if (!sound || Long.parseLong(text) > MOST) {
                section.fault("sizes", "'sizes' holds " + text + ": whole numbers from 1 to " + MOST + " are wanted");
                return List.of(1L);
            }
            long size = Long.parseLong(text);
            if (!sizes.isEmpty() && size <= sizes.get(sizes.size() - 1)) {
                section.fault(
                        "sizes",
                        "'sizes' holds " + size + " behind " + sizes.get(sizes.size() - 1)
                                + ": each must be larger than the one before");
                return List.of(1L);
            }
            sizes.add(size);
        }
        if (sizes.isEmpty()) {
            section.fault("sizes", "'sizes' is missing or empty: whole numbers from 1 to " + MOST + " are wanted");
        }
        return sizes;
    }
}
