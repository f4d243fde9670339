package loadbalancer.operator;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.router.Destination;
import loadbalancer.router.SpillTarget;
import loadbalancer.toml.Measure;
import loadbalancer.toml.Section;
import loadbalancer.toml.TextOrTable;

/** Reads the pools that a route's traffic goes to: the keys {@code to} and {@code spill}. */
final class DestinationReader {
    private final NameRegistry pools;
    private final List<String> notes;

    /** Creates a reader; {@code pools} must contain all pools of the file, {@code notes} receives notes. */
    DestinationReader(NameRegistry pools, List<String> notes) {
        this.pools = pools;
        this.notes = notes;
    }

    /** Returns the destinations of a route; empty if there is none, which is a fault. */
    List<Destination> read(Section route, String routeName) {
        List<SpillTarget> targets = spillTargets(route);
        if (!route.has("to")) {
            route.fault("to", "'to' is missing in route '" + routeName + "': expected a pool, or several with weights");
        }
        List<Destination> destinations = new ArrayList<>();
        List<TextOrTable> items = route.items("to");
        double weightSum = 0;
        for (TextOrTable item : items) {
            Destination destination = destination(item, targets);
            checkDestination(route, destination, destinations, targets, items.size());
            weightSum += destination.weight();
            destinations.add(destination);
        }
        if (!destinations.isEmpty() && weightSum == 0) {
            notes.add(
                    route.location("to") + ": note: route '" + routeName + "' rejects all requests: its weights are 0");
        } else if (route.isEmptyList("to")) {
            route.fault("to", "'to' is empty in route '" + routeName + "': expected at least one pool");
        }
        return destinations;
    }

    private static Destination destination(TextOrTable item, List<SpillTarget> targets) {
        String pool = item.text();
        double weight = 1;
        if (item.isTable()) {
            Section section = item.table();
            pool = section.text("pool", null);
            weight = section.number("weight", Measure.NUMBER, 1);
            section.rejectUnknownKeys();
        }
        return destination(pool, weight, targets);
    }

    private static Destination destination(String pool, double weight, List<SpillTarget> targets) {
        List<SpillTarget> otherPools =
                targets.stream().filter(target -> !target.pool().equals(pool)).toList();
        return new Destination(pool, weight, otherPools);
    }

    private void checkDestination(
            Section route, Destination destination, List<Destination> earlier, List<SpillTarget> targets, int count) {
        String pool = destination.pool();
        pools.require(route, "to", pool);
        if (earlier.stream().anyMatch(other -> other.pool().equals(pool))) {
            route.fault("to", "'to' contains pool '" + pool + "' twice");
        }
        if (count == 1 && targets.stream().anyMatch(target -> target.pool().equals(pool))) {
            route.fault("spill", "'spill' contains pool '" + pool + "', the only pool of 'to': expected another one");
        }
    }

    private List<SpillTarget> spillTargets(Section route) {
        List<SpillTarget> targets = new ArrayList<>();
        for (TextOrTable item : route.items("spill")) {
            SpillTarget target = spillTarget(route, item);
            pools.require(route, "spill", target.pool());
            if (targets.stream().anyMatch(other -> other.pool().equals(target.pool()))) {
                route.fault("spill", "'spill' contains pool '" + target.pool() + "' twice");
            }
            targets.add(target);
        }
        return targets;
    }

    private static SpillTarget spillTarget(Section route, TextOrTable item) {
        if (!item.isTable()) {
            return new SpillTarget(item.text(), 1);
        }
        Section section = item.table();
        String pool = section.text("pool", null);
        double maxShare = section.number("most", Measure.SHARE, 1);
        if (maxShare <= 0) {
            route.fault("spill", "'most' is 0: expected a share over 0, as the pool would take no traffic");
            maxShare = 1;
        }
        section.rejectUnknownKeys();
        return new SpillTarget(pool, maxShare);
    }
}
