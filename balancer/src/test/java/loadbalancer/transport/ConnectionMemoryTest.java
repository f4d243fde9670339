package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class ConnectionMemoryTest {
    private static final int SHARED_BYTES = 10_000;

    private final MemoryBudget shared = new MemoryBudget(SHARED_BYTES);

    @Test
    void aConnectionHasBytesOfItsOwnHoweverMuchOthersHold() {
        ConnectionMemory other = new ConnectionMemory(shared);
        assertTrue(other.tryReserve(ConnectionMemory.OWN_BYTES + SHARED_BYTES));
        assertFalse(other.tryReserve(1));
        ConnectionMemory memory = new ConnectionMemory(shared);
        assertTrue(memory.tryReserve(ConnectionMemory.OWN_BYTES));
        assertFalse(memory.tryReserve(1));
        other.release(1);
        assertTrue(memory.tryReserve(1));
    }

    @Test
    void everythingIsGivenBackInWhateverOrder() {
        Random random = new Random(5);
        for (int i = 0; i < 100; i++) {
            ConnectionMemory memory = new ConnectionMemory(shared);
            int heldBytes = 0;
            for (int j = 0; j < 50; j++) {
                int bytes = random.nextInt(2_000);
                if (random.nextBoolean()) {
                    heldBytes += memory.tryReserve(bytes) ? bytes : 0;
                } else if (bytes <= heldBytes) {
                    memory.release(bytes);
                    heldBytes -= bytes;
                }
                assertEquals(Math.max(0, heldBytes - ConnectionMemory.OWN_BYTES), shared.reservedBytes());
            }
            memory.releaseAll();
            memory.release(heldBytes); // by the holder of a message whose connection has closed
            assertEquals(0, shared.reservedBytes());
        }
    }
}
