package loadbalancer.simulator.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FitTest {
    @Test
    void aLineIsFoundWithoutResiduals() {
        Fit fit = Fit.of(new double[] {10, 100, 1_000, 10_000}, new double[] {25, 205, 2_005, 20_005});
        assertEquals(2, fit.slope(), 1e-9);
        assertEquals(5, fit.base(), 1e-6);
        assertEquals(0, fit.worst(), 1e-9);
        assertEquals(0, fit.slopeError(), 1e-9);
        assertEquals(400_005, fit.at(200_000), 1e-3);
    }

    @Test
    void whatGrowsFasterThanALineShowsInTheResidual() {
        Fit fit = Fit.of(new double[] {10, 100, 1_000, 10_000}, new double[] {1, 100, 10_000, 1_000_000});
        assertTrue(fit.worst() > 0.5, "worst " + fit.worst());
    }

    @Test
    void aSlopeReachesTenTimesTheLargestSize() {
        Fit fit = Fit.of(new double[] {10, 20_000}, new double[] {1, 2});
        assertFalse(fit.beyondReach(200_000));
        assertTrue(fit.beyondReach(200_001));
    }

    @Test
    void onePointIsNoLine() {
        assertThrows(IllegalArgumentException.class, () -> Fit.of(new double[] {10, 10}, new double[] {1, 2}));
    }
}
