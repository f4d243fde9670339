package loadbalancer.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class LimitsTest {
    private static final long SECOND_MICROS = 1_000_000;

    private static TokenBucketTree tree() {
        TokenBucketTree tree = new TokenBucketTree("site", new RateLimit(100, 10, 100));
        tree.add("site", "one", new RateLimit(60, 6, 100));
        tree.add("site", "two", new RateLimit(40, 4, 100));
        return tree;
    }

    /** Returns the requests per second that pass at each node, for the given requests per second. */
    private static double[] passedPerSecond(
            TokenBucketTree tree, double onePerSecond, double twoPerSecond, int durationSeconds) {
        double[] passed = new double[2];
        double[] due = new double[2];
        for (long nowMicros = 0; nowMicros < durationSeconds * SECOND_MICROS; nowMicros += 1_000) {
            due[0] += onePerSecond / 1000;
            due[1] += twoPerSecond / 1000;
            for (int i = 0; i < 2; i++) {
                for (; due[i] >= 1; due[i]--) {
                    passed[i] += tree.tryTake(nowMicros, i == 0 ? "one" : "two") ? 1 : 0;
                }
            }
        }
        return new double[] {passed[0] / durationSeconds, passed[1] / durationSeconds};
    }

    @Test
    void unusedSiblingRateIsBorrowedAndReturnedOnDemand() {
        assertEquals(100, passedPerSecond(tree(), 500, 0, 20)[0], 3, "a single node may use the whole rate");
        double[] both = passedPerSecond(tree(), 500, 40, 20);
        assertTrue(both[1] > 39, "a node at eight times its rate must leave the other its own rate: " + both[1]);
        assertEquals(100, both[0] + both[1], 4);
    }

    @Property(tries = 60, seed = "3")
    void noNodeIsHeldBelowItsOwnRateByAnother(
            @ForAll @IntRange(max = 2000) int onePerSecond, @ForAll @IntRange(min = 1, max = 40) int twoPerSecond) {
        double[] passed = passedPerSecond(tree(), onePerSecond, twoPerSecond, 10);
        assertTrue(
                passed[1] >= 0.97 * twoPerSecond - 0.2,
                twoPerSecond + " per second requested, " + passed[1] + " passed");
        assertTrue(passed[0] + passed[1] <= 104, "over the rate of the site: " + (passed[0] + passed[1]));
    }

    @Test
    void handlesARateOfZeroAStandingClockAndAnIdleHour() {
        TokenBucketTree tree = new TokenBucketTree("site", new RateLimit(10, 5, 10));
        tree.add("site", "none", new RateLimit(0, 1, 0));
        assertTrue(tree.tryTake(0, "none"), "the burst is one request");
        assertFalse(tree.tryTake(3600 * SECOND_MICROS, "none"), "a rate of zero never refills");
        int passed = 0;
        for (int i = 0; i < 100; i++) {
            passed += tree.tryTake(3600 * SECOND_MICROS, "site") ? 1 : 0;
        }
        assertEquals(5, passed, "an idle hour saves only one burst");
        assertFalse(tree.tryTake(0, "site"), "a clock that steps back refills nothing");
        assertThrows(IllegalArgumentException.class, () -> tree.tryTake(0, "unknown"));
        assertThrows(IllegalArgumentException.class, () -> tree.add("unknown", "x", new RateLimit(1, 1, 1)));
        assertThrows(IllegalArgumentException.class, () -> tree.add("site", "none", new RateLimit(1, 1, 1)));
        assertThrows(IllegalArgumentException.class, () -> new RateLimit(2, 1, 1));
    }

    @Property(tries = 200, seed = "4")
    void retriesStayWithinTheRatioOfFirstAttempts(@ForAll @Size(max = 400) List<@IntRange(max = 5) Integer> retries) {
        RetryBudget budget = new RetryBudget(0.2, 1, 10 * SECOND_MICROS);
        int granted = 0;
        long nowMicros = 0;
        for (int requested : retries) {
            nowMicros += 100_000;
            budget.deposit(nowMicros);
            for (int i = 0; i < requested; i++) {
                granted += budget.tryWithdraw(nowMicros) ? 1 : 0;
            }
        }
        // Allowed in any case: 10 at the start and 1 per second; there is a first attempt every 0.1 s.
        assertTrue(granted <= 10 + retries.size() * 0.2 + retries.size() * 0.1 + 1, granted + " of " + retries.size());
    }

    @Test
    void unusedBudgetExpiresInAnIdleHour() {
        RetryBudget budget = new RetryBudget(0.5, 0, 10 * SECOND_MICROS);
        for (int i = 0; i < 1000; i++) {
            budget.deposit(i);
        }
        assertTrue(budget.tryWithdraw(1000));
        assertFalse(budget.tryWithdraw(3600 * SECOND_MICROS));
    }
}
