package loadbalancer.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Sends the requests of a key to few endpoints, which have what the key needs at hand. They are the same for all
 * balancers, however little of the key one of them sees, as what all of them send keeps the endpoints warm.
 *
 * <p>A key that a large part of the requests concern gets more endpoints, so that it adds little to the load of each.
 */
final class KeyAffinity {
    /** Beyond so many endpoints a balancer can't keep connections to all, and keys don't count. */
    private static final int MAX_ENDPOINTS = 2_048;

    /** Endpoints of a key at least: few enough that all of them are sampled. */
    private static final int MIN_SUBSET_SIZE = 3;

    /** A key adds at most the inverse of this to the load of each of its endpoints. */
    private static final double SPREAD = 4;

    private final ActiveSettings settings;
    private final DecayScale scale;
    private final Map<Long, Double> requestCounts = new HashMap<>();

    KeyAffinity(ActiveSettings settings, DecayScale scale) {
        this.settings = settings;
        this.scale = scale;
    }

    /** Counts a request that concerns the key, or null, and that its client sends for the first time. */
    void recordArrival(String key) {
        if (settings.current().keyAffinity() && key != null) {
            requestCounts.merge(Hashing.hash(key), scale.unit(), Double::sum);
        }
    }

    /** Whether the endpoints of a request depend on its key. */
    boolean appliesTo(RequestState request, int listedCount) {
        return settings.current().keyAffinity() && request.keyHash != 0 && listedCount <= MAX_ENDPOINTS;
    }

    /**
     * How many endpoints the key's requests are spread over.
     *
     * @param arrivals decayed count of all requests
     */
    int subsetSize(long keyHash, int listedCount, double arrivals) {
        return (int) Math.max(MIN_SUBSET_SIZE, SPREAD * fractionOfArrivals(keyHash, arrivals) * listedCount);
    }

    private double fractionOfArrivals(long keyHash, double arrivals) {
        double otherRequests = requestCounts.getOrDefault(keyHash, 0.0) / scale.unit() - 1;
        return Math.max(0, otherRequests) / Math.max(1, arrivals);
    }

    /** Forgets keys that have hardly been asked for of late. */
    void prune() {
        requestCounts.values().removeIf(count -> count < scale.unit() / 2);
    }

    /** Forgets all keys. */
    void clear() {
        requestCounts.clear();
    }
}
