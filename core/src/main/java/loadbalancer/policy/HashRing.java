package loadbalancer.policy;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeMap;

/**
 * A consistent hash ring. The points of an endpoint are derived from its id alone, so that all balancers have the same
 * ring and a change to the list moves few keys. An update changes only the points of the affected endpoints.
 */
final class HashRing {
    private final TreeMap<Long, EndpointStats> points = new TreeMap<>();

    // The ring as parallel arrays, rebuilt on the first use after a change.
    private EndpointStats[] endpoints;
    private long[] positions;

    /** Sets the number of points of an endpoint; 0 removes it from the ring. */
    void setPointCount(EndpointStats endpoint, int pointCount) {
        endpoints = endpoint.ringPoints == pointCount ? endpoints : null;
        while (endpoint.ringPoints < pointCount) {
            points.put(Hashing.mix(endpoint.idHash + endpoint.ringPoints++), endpoint);
        }
        while (endpoint.ringPoints > pointCount) {
            points.remove(Hashing.mix(endpoint.idHash + --endpoint.ringPoints), endpoint);
        }
    }

    /** The endpoint at each point, in ring order. Callers must not modify the array. */
    EndpointStats[] endpoints() {
        if (endpoints == null) {
            endpoints = points.values().toArray(new EndpointStats[0]);
            positions = points.keySet().stream().mapToLong(Long::longValue).toArray();
        }
        return endpoints;
    }

    /**
     * Returns the index in {@link #endpoints} at which a walk for the key starts. It equals the number of points if the
     * key is beyond the last point.
     */
    int startIndex(long keyHash) {
        endpoints();
        int index = Arrays.binarySearch(positions, Hashing.mix(keyHash));
        return index < 0 ? -index - 1 : index;
    }

    /** Returns each endpoint once, in the order in which a walk from the position reaches it. */
    EndpointStats[] uniqueFrom(long position) {
        Set<EndpointStats> reached =
                new LinkedHashSet<>(points.tailMap(position).values());
        reached.addAll(points.headMap(position).values());
        return reached.toArray(new EndpointStats[0]);
    }
}
