package loadbalancer.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PoolHealthTest {
    private static final long SECOND = 1_000_000;

    @Test
    void fullStrengthIsConfiguredOrLearnedAndDecaysToASmallerFleet() {
        PoolHealth stated = new PoolHealth(10);
        assertEquals(0, stated.healthyFraction(0, 1, 1.2), "nothing is listed yet");
        stated.setEndpointsUp(0, 4);
        assertEquals(0.4, stated.healthyFraction(3600 * SECOND, 1, 1.2), 1e-9);
        PoolHealth learnedState = new PoolHealth(0);
        learnedState.setEndpointsUp(0, 10);
        learnedState.setEndpointsUp(1, 5);
        assertEquals(0.5, learnedState.healthyFraction(2, 1, 1.2), 1e-6);
        assertTrue(learnedState.healthyFraction(3600 * SECOND, 1, 1.2) > 0.99);
        learnedState.setEndpointsUp(3600 * SECOND, 0);
        assertEquals(0, learnedState.healthyFraction(3600 * SECOND, 1, 1.2));
    }

    @Test
    void healthFollowsTheSuccessRate() {
        PoolHealth h = new PoolHealth(10);
        h.setEndpointsUp(0, 10);
        for (int i = 0; i < 2000; i++) {
            h.ended(i * 500L, i % 2 == 0);
        }
        assertEquals(0.5, h.healthyFraction(SECOND, 1, 1), 0.01);
        assertEquals(0.25, h.healthyFraction(SECOND, 0.5, 1), 0.01, "half of the half that it gets");
        assertEquals(1, h.healthyFraction(60 * SECOND, 0.5, 1), 1e-9, "and is forgotten when nothing more goes wrong");
    }
}
