package loadbalancer.policy;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeMap;
import loadbalancer.policy.BalanceState.Node;

/**
 * A ring of consistent hashing: each server stands at points that follow from its id alone, so that all balancers have
 * the same ring and a change of the list moves few keys. Only the points of servers that change are touched.
 */
final class HashRing {
    private final TreeMap<Long, Node> points = new TreeMap<>();
    private Node[] servers; // the same in arrays, made when asked for
    private long[] positions;

    /** Gives a server so many points; 0 takes it off the ring. */
    void place(Node n, int many) {
        servers = n.points == many ? servers : null;
        while (n.points < many) {
            points.put(Hashing.mix(n.hash + n.points++), n);
        }
        while (n.points > many) {
            points.remove(Hashing.mix(n.hash + --n.points), n);
        }
    }

    /** The server at each point, in the order of the points. */
    Node[] servers() {
        if (servers == null) {
            servers = points.values().toArray(new Node[0]);
            positions = points.keySet().stream().mapToLong(Long::longValue).toArray();
        }
        return servers;
    }

    /** The place in {@link #servers} from which a walk for that key starts. */
    int startOf(long key) {
        servers();
        int from = Arrays.binarySearch(positions, Hashing.mix(key));
        return from < 0 ? -from - 1 : from;
    }

    /** Each server once, in the order in which a walk from that position meets it. */
    Node[] onceEachFrom(long position) {
        Set<Node> met = new LinkedHashSet<>(points.tailMap(position).values());
        met.addAll(points.headMap(position).values());
        return met.toArray(new Node[0]);
    }
}
