package loadbalancer.drain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointState;

/**
 * The upstreams that operators have taken out, and when those that came back did. A set, not a count: one
 * call back undoes any number of calls out. What it holds wins over whatever discovery lists.
 */
public final class OperatorDrains {
    private static final int BACK_MOST = 1_024; // remembered; the oldest are long warm

    private final Set<String> out = new TreeSet<>();
    private final Map<String, Long> back = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > BACK_MOST;
        }
    };

    /** False where it is out already. */
    public boolean takeOut(String id) {
        return out.add(id);
    }

    /** Puts an upstream back, as freshly started at {@code now} (µs); false where it isn't out. */
    public boolean putBack(String id, long now) {
        boolean was = out.remove(id);
        if (was) {
            back.remove(id);
            back.put(id, now);
        }
        return was;
    }

    public boolean holds(String id) {
        return out.contains(id);
    }

    /** The ids that are out. */
    public Set<String> out() {
        return Set.copyOf(out);
    }

    /** When upstreams were put back, in µs. */
    public Map<String, Long> back() {
        return Map.copyOf(back);
    }

    /** Takes over what another holds, in place of what this one does. */
    public void become(Set<String> nowOut, Map<String, Long> nowBack) {
        out.clear();
        out.addAll(nowOut);
        back.clear();
        back.putAll(nowBack);
    }

    /**
     * What discovery lists, as it holds for this balancer. Operators restart an upstream while it is out, and
     * discovery may tell of the new start later or never: one that was put back counts as started then.
     */
    public Endpoint apply(Endpoint listed) {
        boolean draining = listed.state() == EndpointState.UP && out.contains(listed.id());
        Endpoint server = draining ? listed.withState(EndpointState.DRAINING) : listed;
        Long since = back.get(listed.id());
        return since == null || since <= server.startedAt() ? server : server.withStartedAt(since);
    }
}
