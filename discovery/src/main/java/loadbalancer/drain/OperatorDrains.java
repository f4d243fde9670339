package loadbalancer.drain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointState;

/**
 * The endpoints that operators have drained administratively, and when those that they have restored were. A set, not a
 * count: one call to restore undoes any number of calls to drain. It wins over whatever discovery lists.
 *
 * <p>Not thread-safe. Ids need not be of endpoints that are listed.
 */
public final class OperatorDrains {
    /** Restored endpoints that are remembered; older ones have long passed their slow start. */
    private static final int MAX_RESTORED = 1_024;

    private final Set<String> drained = new TreeSet<>();
    private final Map<String, Long> restoredAtMicros = new LinkedHashMap<>() { // in the order of time
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_RESTORED;
                }
            };

    /** Drains an endpoint; false where it is drained already. */
    public boolean drain(String endpointId) {
        return drained.add(endpointId);
    }

    /** Restores an endpoint, which counts as started at {@code nowMicros}; false where it is not drained. */
    public boolean restore(String endpointId, long nowMicros) {
        boolean wasDrained = drained.remove(endpointId);
        if (wasDrained) {
            restoredAtMicros.remove(endpointId); // put in again, it is the last in order
            restoredAtMicros.put(endpointId, nowMicros);
        }
        return wasDrained;
    }

    /** Whether an endpoint is drained. */
    public boolean isDrained(String endpointId) {
        return drained.contains(endpointId);
    }

    /** Returns the ids of drained endpoints. */
    public Set<String> drained() {
        return Set.copyOf(drained);
    }

    /** Returns when endpoints were restored, by id, in µs. */
    public Map<String, Long> restoredAtMicros() {
        return Map.copyOf(restoredAtMicros);
    }

    /** Goes on from what another instance holds, in place of what this one does. */
    public void replaceWith(Set<String> newDrained, Map<String, Long> newRestoredAtMicros) {
        drained.clear();
        drained.addAll(newDrained);
        restoredAtMicros.clear();
        restoredAtMicros.putAll(newRestoredAtMicros);
    }

    /**
     * Returns an endpoint as discovery lists it, with what operators have called for. Operators restart an endpoint
     * while it is drained, and discovery may list the new start later or never: a restored endpoint counts as started
     * when it was restored.
     */
    public Endpoint apply(Endpoint listed) {
        boolean drains = listed.state() == EndpointState.UP && drained.contains(listed.id());
        Endpoint endpoint = drains ? listed.withState(EndpointState.DRAINING) : listed;
        Long restoredAt = restoredAtMicros.get(listed.id());
        return restoredAt == null || restoredAt <= endpoint.startedAt() ? endpoint : endpoint.withStartedAt(restoredAt);
    }
}
