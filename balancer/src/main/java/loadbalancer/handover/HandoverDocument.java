package loadbalancer.handover;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.discovery.DiscoveryFormat;
import loadbalancer.discovery.DiscoveryFormatException;
import loadbalancer.discovery.EndpointList;
import loadbalancer.settings.BootSettings;

/**
 * The wire form of the state that a process hands over to its successor: the state of the site's pool, and the state of
 * each further pool by its name. Each pool is decoded on request, with the receiver's settings, so that a pool that
 * cannot be decoded does not prevent the others from being restored. Immutable.
 */
public final class HandoverDocument {
    private static final String DRAINED = "out";
    private static final String RESTORED_AT = "back";
    private static final String ENDPOINTS = "list";
    private static final String CLASSES = "classes";
    private static final String LEARNED_STATE = "learnt";
    private static final String POOLS = "pools";
    /** Prefix of the names of learned values that do not depend on the request classes. */
    private static final String ENDPOINT_VALUES_PREFIX = "server ";

    private final Map<?, ?> fields;

    /** Wraps the fields of a document that are not decoded yet. */
    HandoverDocument(Map<?, ?> fields) {
        this.fields = fields;
    }

    /** Returns the document of a process without an operator file. */
    public static HandoverDocument of(HandoverState site) {
        return new HandoverDocument(encode(site));
    }

    /** Returns the document of a process with an operator file; {@code pools} is empty if the file defines no pool. */
    public static HandoverDocument of(HandoverState site, Map<String, HandoverState> pools) {
        Map<String, Object> encodedPools = new LinkedHashMap<>();
        pools.forEach((name, pool) -> encodedPools.put(name, encode(pool)));
        Map<String, Object> fields = encode(site);
        fields.put(POOLS, encodedPools);
        return new HandoverDocument(fields);
    }

    private static Map<String, Object> encode(HandoverState state) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(DRAINED, List.copyOf(state.drained()));
        fields.put(RESTORED_AT, state.restoredAtMicros());
        fields.put(ENDPOINTS, DiscoveryFormat.write(state.endpoints(), state.settings()));
        fields.put(CLASSES, state.settings().classes());
        fields.put(LEARNED_STATE, state.learnedState());
        return fields;
    }

    /** Returns the fields in the form that the codec writes. */
    Map<?, ?> fields() {
        return fields;
    }

    /**
     * Returns the state of the site's pool.
     *
     * @param settings the receiver's settings, which define the numbers of zones, endpoint kinds and request classes
     * @throws HandoverFormatException if the state is malformed
     */
    public HandoverState site(BootSettings settings) throws HandoverFormatException {
        return decode(fields, settings);
    }

    /** Returns whether the document lists the sender's further pools; the list may be empty. */
    public boolean hasPools() {
        return fields.get(POOLS) instanceof Map<?, ?>;
    }

    /** Returns the names of the further pools, in the sender's order. */
    public Set<String> poolNames() {
        Set<String> names = new LinkedHashSet<>();
        pools().keySet().forEach(name -> names.add(String.valueOf(name)));
        return names;
    }

    /**
     * Returns the state of a further pool; empty if the sender has no pool of that name.
     *
     * @param settings the receiver's settings of the pool
     * @throws HandoverFormatException if the state is malformed
     */
    public Optional<HandoverState> pool(String name, BootSettings settings) throws HandoverFormatException {
        return pools().get(name) instanceof Map<?, ?> pool ? Optional.of(decode(pool, settings)) : Optional.empty();
    }

    private Map<?, ?> pools() {
        return fields.get(POOLS) instanceof Map<?, ?> pools ? pools : Map.of();
    }

    private static HandoverState decode(Map<?, ?> fields, BootSettings settings) throws HandoverFormatException {
        return new HandoverState(
                drained(fields), restoredAt(fields), endpoints(fields, settings), learned(fields, settings), settings);
    }

    private static Set<String> drained(Map<?, ?> fields) throws HandoverFormatException {
        Set<String> drained = new TreeSet<>();
        for (Object endpointId : required(fields, DRAINED, List.class)) {
            drained.add(typed(endpointId, DRAINED, String.class));
        }
        return drained;
    }

    private static Map<String, Long> restoredAt(Map<?, ?> fields) throws HandoverFormatException {
        Map<String, Long> restoredAt = new LinkedHashMap<>();
        Map<?, ?> encoded = required(fields, RESTORED_AT, Map.class);
        for (Map.Entry<?, ?> entry : encoded.entrySet()) {
            Number atMicros = typed(entry.getValue(), RESTORED_AT, Number.class);
            restoredAt.put((String) entry.getKey(), atMicros.longValue());
        }
        return restoredAt;
    }

    private static EndpointList endpoints(Map<?, ?> fields, BootSettings settings) throws HandoverFormatException {
        try {
            return DiscoveryFormat.read(fields.get(ENDPOINTS), settings);
        } catch (DiscoveryFormatException e) {
            throw new HandoverFormatException(ENDPOINTS + ": " + e.getMessage(), e);
        }
    }

    // Values per request class are in the order of the sender's classes, so they are meaningless under other classes.
    private static Map<String, double[]> learned(Map<?, ?> fields, BootSettings settings)
            throws HandoverFormatException {
        boolean sameClasses = settings.classes().equals(fields.get(CLASSES));
        Map<String, double[]> learned = new LinkedHashMap<>();
        Map<?, ?> encoded = required(fields, LEARNED_STATE, Map.class);
        for (Map.Entry<?, ?> entry : encoded.entrySet()) {
            String name = (String) entry.getKey();
            double[] values = doubles(typed(entry.getValue(), LEARNED_STATE, List.class));
            if (sameClasses || name.startsWith(ENDPOINT_VALUES_PREFIX)) {
                learned.put(name, values);
            }
        }
        return learned;
    }

    private static double[] doubles(List<?> encoded) throws HandoverFormatException {
        double[] values = new double[encoded.size()];
        for (int i = 0; i < values.length; i++) {
            values[i] = typed(encoded.get(i), LEARNED_STATE, Number.class).doubleValue();
        }
        return values;
    }

    private static <T> T required(Map<?, ?> fields, String name, Class<T> type) throws HandoverFormatException {
        return typed(fields.get(name), name, type);
    }

    private static <T> T typed(Object value, String name, Class<T> type) throws HandoverFormatException {
        if (!type.isInstance(value)) {
            throw new HandoverFormatException(name + ": expected type " + type.getSimpleName() + ", got " + value);
        }
        return type.cast(value);
    }
}
