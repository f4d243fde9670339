package loadbalancer.simulator.world;

import java.util.LinkedHashMap;
import java.util.Map;

/** The keys that a process has served recently, with eviction of the least recently used. */
final class KeyCache {
    private final long retentionMicros;
    private final Map<Integer, Long> lastUsed;

    /** Holds at most {@code capacity} keys; a key counts as cached for {@code retentionMicros} after its last use. */
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

    /** Records the use of {@code key}, negative for none, and returns whether it was cached before. */
    boolean use(int key, long now) {
        if (key < 0) {
            return false;
        }
        Long previousUse = lastUsed.put(key, now);
        return previousUse != null && now - previousUse <= retentionMicros;
    }

    void clear() {
        lastUsed.clear();
    }
}
