package loadbalancer.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class TrafficSplitTest {
    private static final String[] POOLS = {"old", "new", "spare"};

    /** A weight grows from 0 in twenty steps: each key moves at most once, to the growing pool. */
    @Test
    void aKeyMovedByAGrowingWeightNeverMovesBack() {
        int[] poolOfKey = new int[20_000];
        for (int step = 0; step <= 20; step++) {
            TrafficSplit split = new TrafficSplit(POOLS, new double[] {5, step * step, 2});
            int atGrowingPool = 0;
            for (int key = 0; key < poolOfKey.length; key++) {
                int pool = split.choose(TrafficSplit.hash("key" + key));
                boolean allowed = step == 0 || pool == poolOfKey[key] || pool == 1;
                assertTrue(allowed, "key " + key + " moved from " + poolOfKey[key] + " to " + pool);
                atGrowingPool += pool == 1 ? 1 : 0;
                poolOfKey[key] = pool;
            }
            double share = step * step / (7.0 + step * step);
            assertEquals(share, atGrowingPool / (double) poolOfKey.length, 0.015);
        }
    }

    @Property(tries = 200, seed = "5")
    void sharesFollowTheWeights(
            @ForAll @DoubleRange(min = 0, max = 10) double firstWeight,
            @ForAll @DoubleRange(min = 0.5, max = 10) double secondWeight,
            @ForAll @IntRange(max = 1000) int salt) {
        TrafficSplit split = new TrafficSplit(new String[] {"a", "b"}, new double[] {firstWeight, secondWeight});
        int first = 0;
        for (int key = 0; key < 4000; key++) {
            first += split.choose(TrafficSplit.hash(salt + "/" + key)) == 0 ? 1 : 0;
        }
        assertEquals(firstWeight / (firstWeight + secondWeight), first / 4000.0, 0.05);
    }

    @Test
    void aPoolOfWeightZeroGetsNoKeyAndAllZeroGivesNoPool() {
        TrafficSplit split = new TrafficSplit(POOLS, new double[] {0, 1, 0});
        for (int key = 0; key < 100; key++) {
            assertEquals(1, split.choose(key));
        }
        assertEquals(-1, new TrafficSplit(POOLS, new double[3]).choose(1));
        assertThrows(IllegalArgumentException.class, () -> new TrafficSplit(POOLS, new double[] {1, -1, 0}));
        assertThrows(IllegalArgumentException.class, () -> new TrafficSplit(POOLS, new double[] {1, Double.NaN, 0}));
    }
}
