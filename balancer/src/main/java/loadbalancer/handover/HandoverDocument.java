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
 * The wire form of all that a process hands to its successor: the state of the site's pool, and by name that of each
 * further pool. Each pool is decoded when it is asked for, with the receiver's settings, so that one that cannot be
 * read does not keep the others from being restored. Immutable.
 */
public final class HandoverDocument {
    private static final String DRAINED = "out";
    private static final String RESTORED_AT = "back";
    private static final String ENDPOINTS = "list";
    private static final String CLASSES = "classes";
    private static final String LEARNED_STATE = "learnt";
    private static final String POOLS = "pools";
    /** What the names of learned figures that do not depend on the request classes begin with. */
    private static final String ENDPOINT_FIGURES = "server ";

    private final Map<?, ?> fields;

    /** Wraps a document as it was received. */
    HandoverDocument(Map<?, ?> fields) {
        this.fields = fields;
    }

    /** Returns the document of a process without further pools. */
    public static HandoverDocument of(HandoverState site) {
        return new HandoverDocument(encode(site));
    }

    /** Returns the document of a process with an operator file, which may define no further pool. */
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

    /** Returns the fields as the codec writes them. */
    Map<?, ?> fields() {
        return fields;
    }

    /**
     * Returns the state of the site's pool.
     *
     * @param settings the receiver's, which number zones, endpoint kinds and request classes
     * @throws HandoverFormatException where it is not in the form of a pool's state
     */
    public HandoverState site(BootSettings settings) throws HandoverFormatException {
        return decode(fields, settings);
    }

    /** Whether the sender says which further pools it has, if any. */
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
     * Returns the state of a further pool; empty where the sender has none of that name.
     *
     * @param settings the pool's own at the receiver
     * @throws HandoverFormatException where it is not in the form of a pool's state
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

    // Figures of request classes stand in the order of the sender's classes: under other classes they say nothing.
    private static Map<String, double[]> learned(Map<?, ?> fields, BootSettings settings)
            throws HandoverFormatException {
        boolean sameClasses = settings.classes().equals(fields.get(CLASSES));
        Map<String, double[]> learned = new LinkedHashMap<>();
        Map<?, ?> encoded = required(fields, LEARNED_STATE, Map.class);
        for (Map.Entry<?, ?> entry : encoded.entrySet()) {
            String name = (String) entry.getKey();
            double[] figures = figures(typed(entry.getValue(), LEARNED_STATE, List.class));
            if (sameClasses || name.startsWith(ENDPOINT_FIGURES)) {
                learned.put(name, figures);
            }
        }
        return learned;
    }

    private static double[] figures(List<?> values) throws HandoverFormatException {
        double[] figures = new double[values.size()];
        for (int i = 0; i < figures.length; i++) {
            figures[i] = typed(values.get(i), LEARNED_STATE, Number.class).doubleValue();
        }
        return figures;
    }

    private static <T> T required(Map<?, ?> fields, String name, Class<T> type) throws HandoverFormatException {
        return typed(fields.get(name), name, type);
    }

    private static <T> T typed(Object value, String name, Class<T> type) throws HandoverFormatException {
        if (!type.isInstance(value)) {
            throw new HandoverFormatException(name + ": no " + type.getSimpleName() + ": " + value);
        }
        return type.cast(value);
    }
}
