package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The state transitions of a process until it serves clients. */
class ReadinessTest {
    private int readyCalls;

    private Readiness readiness(boolean warmsUp) {
        return new Readiness(warmsUp, () -> readyCalls++);
    }

    @Test
    void endpointsMayComeBeforeTheWarmUpEnds() throws InterruptedException {
        Readiness readiness = readiness(true);
        assertEquals(Readiness.State.STARTING, readiness.state());
        readiness.endpointsAvailable();
        assertEquals(Readiness.State.WARMING_UP, readiness.state());
        assertTrue(readiness.hasEndpoints());
        assertFalse(readiness.await(0));
        readiness.warmUpCompleted();
        assertEquals(Readiness.State.READY, readiness.state());
        assertTrue(readiness.await(0));
    }

    @Test
    void theWarmUpMayEndBeforeEndpointsCome() {
        Readiness readiness = readiness(true);
        readiness.warmUpCompleted();
        assertEquals(Readiness.State.AWAITING_ENDPOINTS, readiness.state());
        assertFalse(readiness.hasEndpoints());
        readiness.endpointsAvailable();
        assertEquals(Readiness.State.READY, readiness.state());
    }

    @Test
    void aProcessBecomesReadyOnce() {
        Readiness readiness = readiness(false);
        readiness.endpointsAvailable();
        readiness.endpointsAvailable();
        readiness.warmUpCompleted();
        assertEquals(Readiness.State.READY, readiness.state());
        assertEquals(1, readyCalls);
    }
}
