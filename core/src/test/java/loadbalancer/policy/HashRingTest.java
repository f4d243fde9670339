package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class HashRingTest {
    private static final int POINTS = 8;

    private static EndpointStats endpoint(String id) {
        return new EndpointStats(new Endpoint(id, EndpointState.UP, 0, 1, -1, -1, 0), 0);
    }

    private static List<EndpointStats> fleet(HashRing ring, int size) {
        List<EndpointStats> fleet = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            EndpointStats endpoint = endpoint("s" + i);
            ring.setPointCount(endpoint, POINTS);
            fleet.add(endpoint);
        }
        return fleet;
    }

    private static String owner(HashRing ring, long key) {
        return ring.endpoints()[ring.startIndex(key) % ring.endpoints().length].endpoint.id();
    }

    @Test
    void aWalkFromAnyPositionReachesEachEndpointOnce() {
        HashRing ring = new HashRing();
        List<EndpointStats> fleet = fleet(ring, 50);
        for (long position : new long[] {Long.MIN_VALUE, -1, 0, Long.MAX_VALUE}) {
            EndpointStats[] walk = ring.uniqueFrom(position);
            assertEquals(fleet.size(), walk.length);
            assertEquals(new HashSet<>(fleet), Set.of(walk));
        }
    }

    @Test
    void removingAnEndpointMovesOnlyItsKeysAndAddingItAgainRestoresThem() {
        HashRing ring = new HashRing();
        List<EndpointStats> fleet = fleet(ring, 50);
        List<String> formerOwners = new ArrayList<>();
        for (long key = 0; key < 2_000; key++) {
            formerOwners.add(owner(ring, key));
        }
        ring.setPointCount(fleet.get(7), 0);
        for (int key = 0; key < 2_000; key++) {
            String formerOwner = formerOwners.get(key);
            assertTrue(
                    !formerOwner.equals("s7")
                            ? owner(ring, key).equals(formerOwner)
                            : !owner(ring, key).equals("s7"));
        }
        ring.setPointCount(fleet.get(7), POINTS);
        for (int key = 0; key < 2_000; key++) {
            assertEquals(formerOwners.get(key), owner(ring, key));
        }
    }

    @Test
    void anEmptyRingHasNoEndpoints() {
        HashRing ring = new HashRing();
        assertEquals(0, ring.endpoints().length);
        assertEquals(0, ring.uniqueFrom(0).length);
        assertEquals(0, ring.startIndex(5));
    }
}
