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
    private static final long SECOND_MICROS = 1_000_000;

    @Test
    void trafficSpillsImmediatelyAndReturnsSlowly() {
        Overflow overflow = new Overflow(1.4, 0.1, 1, 0.5);
        assertArrayEquals(new double[] {1, 0}, overflow.shares(0, 0.8, 1), 1e-9, "0.8 x 1.4 covers all traffic");
        assertArrayEquals(new double[] {0.7, 0.3}, overflow.shares(SECOND_MICROS, 0.5, 1), 1e-9);
        assertArrayEquals(
                new double[] {0.42, 0.5},
                overflow.shares(2 * SECOND_MICROS, 0.3, 1),
                1e-9,
                "the next pool takes at most its maximum share");
        assertArrayEquals(
                new double[] {0.5, 0.5},
                overflow.shares(2 * SECOND_MICROS, 1, 1),
                1e-9,
                "traffic that only the first pool can take returns at once");
        assertArrayEquals(
                new double[] {0.7, 0.3},
                overflow.shares(4 * SECOND_MICROS, 1, 1),
                1e-9,
                "other traffic returns slowly");
        assertArrayEquals(
                new double[] {0.7, 0.3},
                overflow.shares(4 * SECOND_MICROS, 1, 1),
                1e-9,
                "nothing changes while the clock stands still");
        assertArrayEquals(new double[] {1, 0}, overflow.shares(60 * SECOND_MICROS, 1, 1), 1e-9);
    }

    @Property(tries = 500, seed = "9")
    void noPoolExceedsItsShareAndNoCapacityIsLeftUnused(
            @ForAll @Size(min = 1, max = 20) List<@DoubleRange(max = 1) Double> firstHealthy,
            @ForAll @DoubleRange(max = 1) double secondHealthy,
            @ForAll @DoubleRange(min = 0.1, max = 1) double maxSecondShare) {
        Overflow overflow = new Overflow(1.25, 0.2, 1, maxSecondShare, 0.3);
        double formerShare = 1;
        long nowMicros = 0;
        for (double healthy : firstHealthy) {
            nowMicros += SECOND_MICROS / 2;
            double[] shares = overflow.shares(nowMicros, healthy, secondHealthy, 1);
            double firstCapacity = Math.min(1, 1.25 * healthy);
            double secondCapacity = Math.min(maxSecondShare, 1.25 * secondHealthy);
            double sum = shares[0] + shares[1] + shares[2];
            assertTrue(
                    shares[0] <= firstCapacity + 1e-9 && shares[1] <= secondCapacity + 1e-9 && shares[2] <= 0.3 + 1e-9);
            assertEquals(Math.min(1, firstCapacity + secondCapacity + 0.3), sum, 1e-6, "all capacity is used");
            boolean returnForced = formerShare + 0.1 < 1 - secondCapacity - 0.3;
            assertTrue(
                    returnForced || shares[0] <= formerShare + 0.1 + 1e-9,
                    "the first pool takes back at most a fifth per second");
            formerShare = shares[0];
        }
    }

    @Test
    void parametersOutOfRangeAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Overflow(0.9, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Overflow(1.4, 0, 1));
        assertThrows(IllegalArgumentException.class, () -> new Overflow(1.4, 1, 1, 0));
        assertThrows(IllegalArgumentException.class, () -> new Overflow(1.4, 1));
    }
}
