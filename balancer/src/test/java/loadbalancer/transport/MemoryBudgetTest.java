package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class MemoryBudgetTest {
    @Test
    void reservationsBeyondTheCapacityAreRejected() {
        MemoryBudget memory = new MemoryBudget(10);
        assertTrue(memory.tryReserve(6));
        assertFalse(memory.tryReserve(5));
        assertTrue(memory.tryReserve(4));
        memory.release(6);
        assertTrue(memory.tryReserve(5));
    }

    @Test
    void deferrableReservationsLeaveHalfOfTheCapacityFree() {
        MemoryBudget memory = new MemoryBudget(10);
        assertFalse(memory.tryReserveDeferrable(6));
        assertTrue(memory.tryReserveDeferrable(5));
        assertFalse(memory.tryReserveDeferrable(1));
        assertTrue(memory.tryReserve(5));
    }
}
