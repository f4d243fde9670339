package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HeadMemoryTest {
    private final MemoryBudget shared = new MemoryBudget(20_000);
    private final ConnectionMemory connection = new ConnectionMemory(shared);
    private final HeadMemory head = new HeadMemory(connection);

    private void decodeLines(int count) {
        for (int i = 0; i < count; i++) {
            head.lineDecoded();
        }
    }

    @Test
    void shortLinesCountAsObjectsAndBodiesDoNotCount() {
        head.messageStarted();
        decodeLines(99);
        head.count(99 * 6, List.of());
        assertTrue(shared.reservedBytes() > 99 * 100, shared.reservedBytes() + " bytes for 99 lines");
        int heldBytes = head.take();
        head.count(1 << 20, List.of()); // of the body
        connection.release(heldBytes);
        assertEquals(0, shared.reservedBytes());
    }

    @Test
    void trailersCountUntilTheyAreTaken() {
        head.messageStarted();
        head.count(100, List.of());
        connection.release(head.take());
        decodeLines(50);
        head.count(50 * 6, List.of());
        assertTrue(shared.reservedBytes() > 0);
        assertThrows(TooLongHttpHeaderException.class, () -> decodeLines(51));
        connection.release(head.take());
        assertEquals(0, shared.reservedBytes());
    }

    @Test
    void aMessageWithoutMemoryIsDropped() {
        head.messageStarted();
        List<Object> decoded = new ArrayList<>(List.of("message"));
        assertThrows(HeadMemoryException.class, () -> head.count(30_000, decoded));
        assertTrue(decoded.isEmpty());
    }
}
