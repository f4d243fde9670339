package loadbalancer.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointState;
import loadbalancer.settings.BootSettings;
import loadbalancer.settings.SettingsReader;
import loadbalancer.settings.SocketAddresses;

/**
 * Discovery's wire format of endpoint lists: the only place that knows its paths, field names and states. Lists are
 * read from and written to parsed JSON values (maps, lists, strings, numbers); {@link ListReader} reads them from
 * bytes. Stateless.
 */
public final class DiscoveryFormat {
    /** The path of the complete list. */
    static final String LIST_PATH = "/api/targets";

    /** The field of a list that holds its entries. */
    static final String ENTRIES = "targets";

    /** The most characters of an id: ids are kept for each endpoint. */
    private static final int MAX_ID_CHARS = 256;

    private static final String VERSION = "rev";
    private static final String COMPLETE = "all";

    private static final String ID = "uid";
    private static final String ADDRESS = "endpoint";
    private static final String STATE = "state";
    private static final String STARTED_AT_MILLIS = "boot_ms";
    private static final String WEIGHT = "capacity_hint";
    private static final String CELL = "pod_group";
    private static final String ZONE = "az";
    private static final String KIND = "model";

    private static final String STATE_UP = "in_service";
    private static final String STATE_DRAINING = "terminating";
    private static final String STATE_GONE = "terminated";

    private static final double MICROS_PER_MILLI = 1000;
    private static final double DEFAULT_WEIGHT = 1;
    private static final double NO_CELL = -1;

    private DiscoveryFormat() {}

    /** Returns the path of a watch for the changes after {@code version}. */
    static String watchPath(long version) {
        return LIST_PATH + "?watch=1&from=" + version;
    }

    /**
     * Reads a list.
     *
     * @param json the parsed JSON value
     * @param settings the settings that map names of zones and kinds to numbers
     * @throws DiscoveryFormatException if it is not a valid list
     */
    public static EndpointList read(Object json, BootSettings settings) {
        if (!(json instanceof Map<?, ?> list) || !(list.get(ENTRIES) instanceof List<?> entries)) {
            throw new DiscoveryFormatException("'targets' is missing or not an array");
        }
        List<EndpointList.Entry> read = new ArrayList<>();
        for (Object entry : entries) {
            id(entry);
            read.add(entry((Map<?, ?>) entry, settings));
        }
        return new EndpointList(version(list), isComplete(list), List.copyOf(read));
    }

    /** Returns the version of a list; 0 if it has none. */
    static long version(Map<?, ?> list) {
        return (long) number(list.get(VERSION), 0);
    }

    /** Whether a list is complete: it names all endpoints, not only changes. */
    static boolean isComplete(Map<?, ?> list) {
        return Boolean.TRUE.equals(list.get(COMPLETE));
    }

    /**
     * Returns the id of an entry.
     *
     * @throws DiscoveryFormatException if it has none, or one that is too long
     */
    static String id(Object entry) {
        if (!(entry instanceof Map<?, ?> fields) || !(fields.get(ID) instanceof String id) || id.isEmpty()) {
            throw new DiscoveryFormatException("an entry of 'targets' is not an object with a 'uid'");
        }
        if (id.length() > MAX_ID_CHARS) {
            throw new DiscoveryFormatException(
                    "a 'uid' has " + id.length() + " characters: expected " + MAX_ID_CHARS + " at most");
        }
        return id;
    }

    /**
     * Returns the state of an entry.
     *
     * @throws DiscoveryFormatException if it has no known state
     */
    static EndpointState state(Map<?, ?> entry) {
        return switch (String.valueOf(entry.get(STATE))) {
            case STATE_UP -> EndpointState.UP;
            case STATE_DRAINING -> EndpointState.DRAINING;
            case STATE_GONE -> EndpointState.GONE;
            default -> throw new DiscoveryFormatException(
                    "'state' is '" + entry.get(STATE) + "': expected in_service, terminating or terminated");
        };
    }

    /**
     * Reads an entry that has an id.
     *
     * @throws DiscoveryFormatException if its state or address is invalid
     */
    static EndpointList.Entry entry(Map<?, ?> entry, BootSettings settings) {
        EndpointState state = state(entry);
        InetSocketAddress address = state == EndpointState.GONE && entry.get(ADDRESS) == null ? null : address(entry);
        double weight = number(entry.get(WEIGHT), DEFAULT_WEIGHT);
        Endpoint endpoint = new Endpoint(
                id(entry),
                state,
                Math.round(number(entry.get(STARTED_AT_MILLIS), 0) * MICROS_PER_MILLI),
                weight > 0 ? weight : DEFAULT_WEIGHT,
                (int) number(entry.get(CELL), NO_CELL),
                settings.kinds().indexOf(SettingsReader.wireText(entry.get(KIND))),
                settings.zones().indexOf(SettingsReader.wireText(entry.get(ZONE))));
        return new EndpointList.Entry(endpoint, address);
    }

    private static InetSocketAddress address(Map<?, ?> entry) {
        try {
            return SocketAddresses.parse(String.valueOf(entry.get(ADDRESS)));
        } catch (IllegalArgumentException e) {
            throw new DiscoveryFormatException(e.getMessage(), e);
        }
    }

    private static double number(Object value, double fallback) {
        return value instanceof Number number && Double.isFinite(number.doubleValue())
                ? number.doubleValue()
                : fallback;
    }

    /**
     * Writes a list, the reverse of {@link #read}. Entries must not be {@link EndpointState#GONE}.
     *
     * @param settings the settings that map numbers of zones and kinds to names
     * @return the list as JSON values (maps, lists, strings, numbers)
     */
    public static Map<String, Object> write(EndpointList list, BootSettings settings) {
        List<Map<String, Object>> entries = new ArrayList<>();
        for (EndpointList.Entry entry : list.entries()) {
            entries.add(write(entry, settings));
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(VERSION, list.version());
        fields.put(COMPLETE, list.complete());
        fields.put(ENTRIES, entries);
        return fields;
    }

    private static Map<String, Object> write(EndpointList.Entry entry, BootSettings settings) {
        Endpoint endpoint = entry.endpoint();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(ID, endpoint.id());
        fields.put(
                ADDRESS,
                entry.address().getAddress().getHostAddress() + ":"
                        + entry.address().getPort());
        fields.put(STATE, endpoint.state() == EndpointState.UP ? STATE_UP : STATE_DRAINING);
        fields.put(STARTED_AT_MILLIS, endpoint.startedAt() / MICROS_PER_MILLI);
        fields.put(WEIGHT, endpoint.weight());
        fields.put(CELL, endpoint.cell());
        if (endpoint.zone() >= 0) {
            fields.put(ZONE, settings.zones().get(endpoint.zone()));
        }
        if (endpoint.machineKind() >= 0) {
            fields.put(KIND, settings.kinds().get(endpoint.machineKind()));
        }
        return fields;
    }
}
