package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.policy.BalanceState.Node;
import org.junit.jupiter.api.Test;

class HashRingTest {
    private static final int POINTS = 8;

    private static Node server(String id) {
        return new Node(new Endpoint(id, EndpointState.UP, 0, 1, -1, -1, 0), 0);
    }

    private static List<Node> fleet(HashRing ring, int size) {
        List<Node> fleet = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            Node n = server("s" + i);
            ring.place(n, POINTS);
            fleet.add(n);
        }
        return fleet;
    }

    private static String owner(HashRing ring, long key) {
        return ring.servers()[ring.startOf(key) % ring.servers().length].server.id();
    }

    @Test
    void aWalkMeetsEachServerOnceFromAnyPosition() {
        HashRing ring = new HashRing();
        List<Node> fleet = fleet(ring, 50);
        for (long position : new long[] {Long.MIN_VALUE, -1, 0, Long.MAX_VALUE}) {
            Node[] walk = ring.onceEachFrom(position);
            assertEquals(fleet.size(), walk.length);
            assertEquals(new HashSet<>(fleet), Set.of(walk));
        }
    }

    @Test
    void whoLeavesTakesItsOwnKeysOnlyAndGetsThemBack() {
        HashRing ring = new HashRing();
        List<Node> fleet = fleet(ring, 50);
        List<String> before = new ArrayList<>();
        for (long key = 0; key < 2_000; key++) {
            before.add(owner(ring, key));
        }
        ring.place(fleet.get(7), 0);
        for (int key = 0; key < 2_000; key++) {
            String was = before.get(key);
            assertTrue(
                    !was.equals("s7")
                            ? owner(ring, key).equals(was)
                            : !owner(ring, key).equals("s7"));
        }
        ring.place(fleet.get(7), POINTS);
        for (int key = 0; key < 2_000; key++) {
            assertEquals(before.get(key), owner(ring, key));
        }
    }

    @Test
    void anEmptyRingHasNoServers() {
        HashRing ring = new HashRing();
        assertEquals(0, ring.servers().length);
        assertEquals(0, ring.onceEachFrom(0).length);
        assertEquals(0, ring.startOf(5));
    }
}
