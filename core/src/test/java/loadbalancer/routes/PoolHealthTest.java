package loadbalancer.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PoolHealthTest {
    private static final long SECOND_MICROS = 1_000_000;

    @Test
    void fullStrengthIsConfiguredOrLearnedAndDecaysToASmallerFleet() {
        PoolHealth configured = new PoolHealth(10);
        assertEquals(0, configured.healthyFraction(0, 1, 1.2), "no endpoints are known yet");
        configured.setEndpointsUp(0, 4);
        assertEquals(0.4, configured.healthyFraction(3600 * SECOND_MICROS, 1, 1.2), 1e-9);
        PoolHealth learned = new PoolHealth(0);
        learned.setEndpointsUp(0, 10);
        learned.setEndpointsUp(1, 5);
        assertEquals(0.5, learned.healthyFraction(2, 1, 1.2), 1e-6);
        assertTrue(learned.healthyFraction(3600 * SECOND_MICROS, 1, 1.2) > 0.99);
        learned.setEndpointsUp(3600 * SECOND_MICROS, 0);
        assertEquals(0, learned.healthyFraction(3600 * SECOND_MICROS, 1, 1.2));
    }

    @Test
    void healthFollowsTheSuccessRate() {
        PoolHealth health = new PoolHealth(10);
        health.setEndpointsUp(0, 10);
        for (int i = 0; i < 2000; i++) {
            health.ended(i * 500L, i % 2 == 0);
        }
        assertEquals(0.5, health.healthyFraction(SECOND_MICROS, 1, 1), 0.01);
        assertEquals(0.25, health.healthyFraction(SECOND_MICROS, 0.5, 1), 0.01, "half of its share of 0.5");
        assertEquals(1, health.healthyFraction(60 * SECOND_MICROS, 0.5, 1), 1e-9, "failures expire");
    }
}
