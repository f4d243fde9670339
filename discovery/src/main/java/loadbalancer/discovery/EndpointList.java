package loadbalancer.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointState;
import loadbalancer.settings.SettingsReader;
import loadbalancer.settings.SocketAddresses;
import loadbalancer.subset.Subset;

/**
 * A list of upstreams in discovery's form: all of them, or those that changed. {@code toldAt} is when its news counts
 * as told at the latest, in µs; where it comes in time that is later than now, and means nothing. {@code part} says
 * which part of what discovery listed is here; null: all of it.
 */
public record EndpointList(long rev, boolean all, List<Target> list, long toldAt, Part part) {
    /** An upstream as the module knows it, and where this balancer reaches it. */
    public record Target(Endpoint server, InetSocketAddress endpoint) {}

    /** A part of a list that named so many upstreams. */
    public record Part(Subset subset, long named) {}

    public EndpointList(long rev, boolean all, List<Target> list) {
        this(rev, all, list, Long.MAX_VALUE);
    }

    public EndpointList(long rev, boolean all, List<Target> list, long toldAt) {
        this(rev, all, list, toldAt, null);
    }

    /** The same, told then. */
    public EndpointList told(long at) {
        return new EndpointList(rev, all, list, at, part);
    }

    /** Throws IllegalArgumentException where it isn't such a list. */
    public static EndpointList of(Object json, SettingsReader.Boot boot) {
        if (!(json instanceof Map<?, ?> map) || !(map.get("targets") instanceof List<?> entries)) {
            throw new IllegalArgumentException("no list of targets");
        }
        List<Target> list = new ArrayList<>();
        for (Object entry : entries) {
            uid(entry);
            list.add(entry((Map<?, ?>) entry, boot));
        }
        return new EndpointList(
                (long) number(map.get("rev"), 0), Boolean.TRUE.equals(map.get("all")), List.copyOf(list));
    }

    /** The id of an entry; throws IllegalArgumentException where it has none. */
    static String uid(Object entry) {
        if (!(entry instanceof Map<?, ?> e) || !(e.get("uid") instanceof String uid) || uid.isEmpty()) {
            throw new IllegalArgumentException("a target without uid");
        }
        return uid;
    }

    static EndpointState state(Map<?, ?> entry) {
        return switch (String.valueOf(entry.get("state"))) {
            case "in_service" -> EndpointState.UP;
            case "terminating" -> EndpointState.DRAINING;
            case "terminated" -> EndpointState.GONE;
            default -> throw new IllegalArgumentException("unknown state: '" + entry.get("state") + "'");
        };
    }

    static Target entry(Map<?, ?> e, SettingsReader.Boot boot) {
        EndpointState state = state(e);
        InetSocketAddress endpoint = state == EndpointState.GONE && e.get("endpoint") == null
                ? null
                : SocketAddresses.address(String.valueOf(e.get("endpoint")));
        double weight = number(e.get("capacity_hint"), 1);
        return new Target(
                new Endpoint(
                        uid(e),
                        state,
                        Math.round(number(e.get("boot_ms"), 0) * 1000),
                        weight > 0 ? weight : 1,
                        (int) number(e.get("pod_group"), -1),
                        boot.kinds().indexOf(SettingsReader.plain(e.get("model"))),
                        boot.zones().indexOf(SettingsReader.plain(e.get("az")))),
                endpoint);
    }

    /** The list in discovery's form. */
    public Map<String, Object> toJson(SettingsReader.Boot boot) {
        List<Map<String, Object>> entries = new ArrayList<>();
        for (Target t : list) {
            Endpoint s = t.server();
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("uid", s.id());
            entry.put(
                    "endpoint",
                    t.endpoint().getAddress().getHostAddress() + ":"
                            + t.endpoint().getPort());
            entry.put("state", s.state() == EndpointState.UP ? "in_service" : "terminating");
            entry.put("boot_ms", s.startedAt() / 1000.0);
            entry.put("capacity_hint", s.weight());
            entry.put("pod_group", s.cell());
            if (s.zone() >= 0) {
                entry.put("az", boot.zones().get(s.zone()));
            }
            if (s.kind() >= 0) {
                entry.put("model", boot.kinds().get(s.kind()));
            }
            entries.add(entry);
        }
        return Map.of("rev", rev, "all", all, "targets", entries);
    }

    public List<Endpoint> servers() {
        return list.stream().map(Target::server).toList();
    }

    static double number(Object value, double otherwise) {
        return value instanceof Number n && Double.isFinite(n.doubleValue()) ? n.doubleValue() : otherwise;
    }
}
