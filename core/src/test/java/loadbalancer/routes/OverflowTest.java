package loadbalancer.routes;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class OverflowTest {
    private static final long SECOND = 1_000_000;

    @Test
    void trafficSpillsImmediatelyAndReturnsSlowly() {
        Overflow overflow = new Overflow(1.4, 0.1, 1, 0.5);
        assertArrayEquals(new double[] {1, 0}, overflow.shares(0, 0.8, 1), 1e-9, "0.8 x 1.4 is enough");
        assertArrayEquals(new double[] {0.7, 0.3}, overflow.shares(SECOND, 0.5, 1), 1e-9);
        assertArrayEquals(
                new double[] {0.42, 0.5},
                overflow.shares(2 * SECOND, 0.3, 1),
                1e-9,
                "the next pool takes no more than its limit");
        assertArrayEquals(
                new double[] {0.5, 0.5},
                overflow.shares(2 * SECOND, 1, 1),
                1e-9,
                "what only the first can take returns at once");
        assertArrayEquals(new double[] {0.7, 0.3}, overflow.shares(4 * SECOND, 1, 1), 1e-9, "the rest slowly");
        assertArrayEquals(
                new double[] {0.7, 0.3}, overflow.shares(4 * SECOND, 1, 1), 1e-9, "a clock that stands still");
        assertArrayEquals(new double[] {1, 0}, overflow.shares(60 * SECOND, 1, 1), 1e-9);
    }

    @Property(tries = 500, seed = "9")
    void noPoolExceedsItsShareAndNoCapacityIsLeftUnused(
            @ForAll @Size(min = 1, max = 20) List<@DoubleRange(max = 1) Double> first,
            @ForAll @DoubleRange(max = 1) double second,
            @ForAll @DoubleRange(min = 0.1, max = 1) double limit) {
        Overflow overflow = new Overflow(1.25, 0.2, 1, limit, 0.3);
        double before = 1;
        long now = 0;
        for (double healthy : first) {
            now += SECOND / 2;
            double[] shares = overflow.shares(now, healthy, second, 1);
            double able0 = Math.min(1, 1.25 * healthy);
            double able1 = Math.min(limit, 1.25 * second);
            double sum = shares[0] + shares[1] + shares[2];
            assertTrue(shares[0] <= able0 + 1e-9 && shares[1] <= able1 + 1e-9 && shares[2] <= 0.3 + 1e-9);
            assertEquals(Math.min(1, able0 + able1 + 0.3), sum, 1e-6, "all that can be taken is taken");
            boolean forced = before + 0.1 < 1 - able1 - 0.3;
            assertTrue(forced || shares[0] <= before + 0.1 + 1e-9, "the first takes back a fifth a second at most");
            before = shares[0];
        }
    }

    @Test
    void impossibleParametersAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Overflow(0.9, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Overflow(1.4, 0, 1));
        assertThrows(IllegalArgumentException.class, () -> new Overflow(1.4, 1, 1, 0));
        assertThrows(IllegalArgumentException.class, () -> new Overflow(1.4, 1));
    }
}
