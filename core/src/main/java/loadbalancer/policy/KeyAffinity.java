package loadbalancer.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Sends the requests of a key to few endpoints, as an endpoint needs less work for a key that it served recently. All
 * balancers choose the same endpoints for a key, however few of its requests a single balancer receives, because the
 * requests of all balancers together keep the endpoints warm for the key.
 *
 * <p>A key with a large fraction of the requests gets more endpoints, so that it adds little to the load of each.
 */
final class KeyAffinity {
    /** Maximum number of endpoints with key affinity; a balancer can't keep connections to all of a longer list. */
    private static final int MAX_ENDPOINTS = 2_048;

    /** Minimum number of endpoints for a key: few enough that all of them are sampled. */
    private static final int MIN_SUBSET_SIZE = 3;

    /** Maximum number of keys that are counted; clients choose the keys, and a hot key is counted early. */
    private static final int MAX_COUNTED_KEYS = 16_384;

    /** A key adds at most 1 / SPREAD_FACTOR of the mean load to each of its endpoints. */
    private static final double SPREAD_FACTOR = 4;

    private final ActiveSettings settings;
    private final DecayScale scale;
    private final Map<Long, Double> requestCounts = new HashMap<>();

    KeyAffinity(ActiveSettings settings, DecayScale scale) {
        this.settings = settings;
        this.scale = scale;
    }

    /** Counts a request that its client sends for the first time; its key may be null. */
    void recordArrival(String key) {
        if (settings.current().keyAffinity() && key != null) {
            long keyHash = Hashing.hash(key);
            if (requestCounts.size() < MAX_COUNTED_KEYS || requestCounts.containsKey(keyHash)) {
                requestCounts.merge(keyHash, scale.unit(), Double::sum);
            }
        }
    }

    /** Whether the candidates of the request depend on its key. */
    boolean appliesTo(RequestState request, int listedCount) {
        return settings.current().keyAffinity() && request.keyHash != 0 && listedCount <= MAX_ENDPOINTS;
    }

    /**
     * Returns the number of endpoints over which the requests of the key are spread.
     *
     * @param arrivals decayed count of all requests
     */
    int subsetSize(long keyHash, int listedCount, double arrivals) {
        return (int) Math.max(MIN_SUBSET_SIZE, SPREAD_FACTOR * fractionOfArrivals(keyHash, arrivals) * listedCount);
    }

    private double fractionOfArrivals(long keyHash, double arrivals) {
        double otherRequests = requestCounts.getOrDefault(keyHash, 0.0) / scale.unit() - 1;
        return Math.max(0, otherRequests) / Math.max(1, arrivals);
    }

    /** Removes keys that were hardly requested recently. */
    void prune() {
        requestCounts.values().removeIf(count -> count < scale.unit() / 2);
    }

    void clear() {
        requestCounts.clear();
    }
}
