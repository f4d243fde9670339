package loadbalancer.drain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointState;

/**
 * The endpoints that operators have drained administratively, and the times at which restored ones were restored.
 * Drains are not counted: one call to restore undoes any number of calls to drain. A drain takes precedence over the
 * state that discovery lists.
 *
 * <p>Not thread-safe. Ids need not be of endpoints that are listed.
 */
public final class OperatorDrains {
    /** Restored endpoints that are remembered; the slow start of older ones ended long ago. */
    private static final int MAX_RESTORED = 1_024;

    private final Set<String> drained = new TreeSet<>();
    private final Map<String, Long> restoredAtMicros = new LinkedHashMap<>() { // the oldest first
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_RESTORED;
                }
            };

    /** Drains an endpoint; returns false if it is drained already. */
    public boolean drain(String endpointId) {
        return drained.add(endpointId);
    }

    /** Restores an endpoint, which counts as started at {@code nowMicros}; returns false if it is not drained. */
    public boolean restore(String endpointId, long nowMicros) {
        boolean wasDrained = drained.remove(endpointId);
        if (wasDrained) {
            restoredAtMicros.remove(endpointId); // so that it becomes the last in insertion order
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

    /** Replaces the state of this instance with that of another. */
    public void replaceWith(Set<String> newDrained, Map<String, Long> newRestoredAtMicros) {
        drained.clear();
        drained.addAll(newDrained);
        restoredAtMicros.clear();
        restoredAtMicros.putAll(newRestoredAtMicros);
    }

    /**
     * Applies drains and restores to an endpoint that discovery lists. Operators restart an endpoint while it is
     * drained, and discovery may list the new start time late or never, so a restored endpoint counts as started when
     * it was restored.
     */
    public Endpoint apply(Endpoint listed) {
        boolean drainsNow = listed.state() == EndpointState.UP && drained.contains(listed.id());
        Endpoint endpoint = drainsNow ? listed.withState(EndpointState.DRAINING) : listed;
        Long restoredAt = restoredAtMicros.get(listed.id());
        return restoredAt == null || restoredAt <= endpoint.startedAt() ? endpoint : endpoint.withStartedAt(restoredAt);
    }
}
