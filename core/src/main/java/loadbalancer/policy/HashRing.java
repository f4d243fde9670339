package loadbalancer.policy;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeMap;

/**
 * A ring of consistent hashing. Each endpoint stands at points that follow from its id alone, so that all balancers
 * have the same ring and a change of the list moves few keys. A change touches only the points of the endpoints that it
 * concerns.
 */
final class HashRing {
    private final TreeMap<Long, EndpointStats> points = new TreeMap<>();

    // The ring as arrays, made when asked for after a change.
    private EndpointStats[] endpoints;
    private long[] positions;

    /** Gives an endpoint that many points; 0 takes it off the ring. */
    void place(EndpointStats endpoint, int pointCount) {
        endpoints = endpoint.ringPoints == pointCount ? endpoints : null;
        while (endpoint.ringPoints < pointCount) {
            points.put(Hashing.mix(endpoint.idHash + endpoint.ringPoints++), endpoint);
        }
        while (endpoint.ringPoints > pointCount) {
            points.remove(Hashing.mix(endpoint.idHash + --endpoint.ringPoints), endpoint);
        }
    }

    /** The endpoint at each point, in the order of the points; not to be changed. */
    EndpointStats[] endpoints() {
        if (endpoints == null) {
            endpoints = points.values().toArray(new EndpointStats[0]);
            positions = points.keySet().stream().mapToLong(Long::longValue).toArray();
        }
        return endpoints;
    }

    /** The index in {@link #endpoints} at which a walk for that key starts; the number of points for the end. */
    int startIndex(long keyHash) {
        endpoints();
        int index = Arrays.binarySearch(positions, Hashing.mix(keyHash));
        return index < 0 ? -index - 1 : index;
    }

    /** Each endpoint once, in the order in which a walk from that position meets it. */
    EndpointStats[] uniqueFrom(long position) {
        Set<EndpointStats> met = new LinkedHashSet<>(points.tailMap(position).values());
        met.addAll(points.headMap(position).values());
        return met.toArray(new EndpointStats[0]);
    }
}
