package loadbalancer.simulator.world;

import java.util.LinkedHashMap;
import java.util.Map;

/** The keys that a process has met lately, the least recently used of which are evicted. */
final class KeyCache {
    private final long retentionMicros;
    private final Map<Integer, Long> lastUsed;

    /** Holds at most {@code capacity} keys; one counts as known for {@code retentionMicros} after its last use. */
    KeyCache(int capacity, long retentionMicros) {
        this.retentionMicros = retentionMicros;
        this.lastUsed = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Long> eldest) {
                return size() > capacity;
            }
        };
    }

    /** Notes that a request concerns {@code key}, negative for none, and returns whether it was known before. */
    boolean use(int key, long now) {
        if (key < 0) {
            return false;
        }
        Long before = lastUsed.put(key, now);
        return before != null && now - before <= retentionMicros;
    }

    void clear() {
        lastUsed.clear();
    }
}
