package loadbalancer.simulator.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The machines behind the fleet, numbered from 0, as discovery tells of them. Machines of a rack, and racks of a zone,
 * have neighbouring numbers.
 */
final class Machines {
    /** One entry of a list in discovery's form, without line end. */
    record Change(String uid, boolean gone, byte[] json) {}

    static final List<String> KINDS = List.of("m1", "m2");

    private final int many;
    private final List<String> zones;
    private final int rackSize;
    private final List<String> endpoints;

    /** {@code endpoints}: shared by all machines, in turn; every machine has an id of its own all the same. */
    Machines(int many, List<String> zones, int rackSize, List<String> endpoints) {
        this.many = many;
        this.zones = List.copyOf(zones);
        this.rackSize = rackSize;
        this.endpoints = List.copyOf(endpoints);
    }

    int many() {
        return many;
    }

    int racks() {
        return (many + rackSize - 1) / rackSize;
    }

    int zones() {
        return zones.size();
    }

    /** The first number of that rack; of the rack behind the last, the number of machines. */
    int rackFrom(int rack) {
        return Math.min(many, rack * rackSize);
    }

    /** The same of a zone. */
    int zoneFrom(int zone) {
        return rackFrom((int) ((long) racks() * zone / zones.size()));
    }

    private int zoneOf(int machine) {
        int zone = 0;
        while (zone + 1 < zones.size() && zoneFrom(zone + 1) <= machine) {
            zone++;
        }
        return zone;
    }

    String uid(int machine) {
        // As long as the ids of the protocol page, and without an order that a hash could profit from.
        return String.format(Locale.ROOT, "s-%08x", (machine * 0x9e3779b1) & 0xffffffffL);
    }

    /** The entry of a machine in that state. */
    Change entry(int machine, String state, double hint, long bootMs) {
        String uid = uid(machine);
        String json = "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint(machine) + "\",\"az\":\""
                + zones.get(zoneOf(machine)) + "\",\"model\":\"" + model(machine) + "\",\"pod_group\":"
                + machine / rackSize + ",\"state\":\"" + state + "\",\"capacity_hint\":" + hint + ",\"boot_ms\":"
                + bootMs
                + "}";
        return new Change(uid, state.equals("terminated"), json.getBytes(StandardCharsets.US_ASCII));
    }

    private String endpoint(int machine) {
        return endpoints.get(machine % endpoints.size());
    }

    private static String model(int machine) {
        return KINDS.get(machine % KINDS.size());
    }

    /** All of them, in service since long ago. */
    List<Change> all() {
        List<Change> all = new ArrayList<>(many);
        for (int i = 0; i < many; i++) {
            all.add(entry(i, "in_service", 1, 0));
        }
        return all;
    }

    /** The whole list as a configuration's {@code known} holds it. */
    Map<String, Object> known(long rev) {
        List<Map<String, Object>> targets = new ArrayList<>(many);
        for (int i = 0; i < many; i++) {
            targets.add(Map.of(
                    "uid",
                    uid(i),
                    "endpoint",
                    endpoint(i),
                    "az",
                    zones.get(zoneOf(i)),
                    "model",
                    model(i),
                    "pod_group",
                    i / rackSize,
                    "state",
                    "in_service",
                    "capacity_hint",
                    1.0,
                    "boot_ms",
                    0));
        }
        return Map.of("rev", rev, "all", true, "targets", targets);
    }
}
