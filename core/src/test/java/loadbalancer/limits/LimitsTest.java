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
    private static final long SECOND = 1_000_000;

    private static TokenBucketTree tree() {
        TokenBucketTree tree = new TokenBucketTree("site", new RateLimit(100, 10, 100));
        tree.add("site", "one", new RateLimit(60, 6, 100));
        tree.add("site", "two", new RateLimit(40, 4, 100));
        return tree;
    }

    /** Requests per second that pass, of so many asked for by each. */
    private static double[] passing(TokenBucketTree tree, double one, double two, int seconds) {
        double[] passed = new double[2];
        double[] due = new double[2];
        for (long now = 0; now < seconds * SECOND; now += 1_000) {
            due[0] += one / 1000;
            due[1] += two / 1000;
            for (int i = 0; i < 2; i++) {
                for (; due[i] >= 1; due[i]--) {
                    passed[i] += tree.tryTake(now, i == 0 ? "one" : "two") ? 1 : 0;
                }
            }
        }
        return new double[] {passed[0] / seconds, passed[1] / seconds};
    }

    @Test
    void unusedSiblingRateIsBorrowedAndReturnedOnDemand() {
        assertEquals(100, passing(tree(), 500, 0, 20)[0], 3, "alone it may use all");
        double[] both = passing(tree(), 500, 40, 20);
        assertTrue(both[1] > 39, "one at eight times its share leaves the other all of its own: " + both[1]);
        assertEquals(100, both[0] + both[1], 4);
    }

    @Property(tries = 60, seed = "3")
    void noNodeIsHeldBelowItsOwnRateByAnother(
            @ForAll @IntRange(max = 2000) int flood, @ForAll @IntRange(min = 1, max = 40) int modest) {
        double[] passed = passing(tree(), flood, modest, 10);
        assertTrue(passed[1] >= 0.97 * modest - 0.2, modest + " a second asked, " + passed[1] + " passed");
        assertTrue(passed[0] + passed[1] <= 104, "the site's limit: " + (passed[0] + passed[1]));
    }

    @Test
    void handlesARateOfZeroAStandingClockAndAnIdleHour() {
        TokenBucketTree tree = new TokenBucketTree("site", new RateLimit(10, 5, 10));
        tree.add("site", "none", new RateLimit(0, 1, 0));
        assertTrue(tree.tryTake(0, "none"), "the burst of one");
        assertFalse(tree.tryTake(3600 * SECOND, "none"), "and never again");
        int passed = 0;
        for (int i = 0; i < 100; i++) {
            passed += tree.tryTake(3600 * SECOND, "site") ? 1 : 0;
        }
        assertEquals(5, passed, "a burst after an idle hour is one burst");
        assertFalse(tree.tryTake(0, "site"), "a step back gives nothing");
        assertThrows(IllegalArgumentException.class, () -> tree.tryTake(0, "nobody"));
        assertThrows(IllegalArgumentException.class, () -> tree.add("nobody", "x", new RateLimit(1, 1, 1)));
        assertThrows(IllegalArgumentException.class, () -> tree.add("site", "none", new RateLimit(1, 1, 1)));
        assertThrows(IllegalArgumentException.class, () -> new RateLimit(2, 1, 1));
    }

    @Property(tries = 200, seed = "4")
    void retriesStayWithinTheRatioOfFirstAttempts(@ForAll @Size(max = 400) List<@IntRange(max = 5) Integer> retries) {
        RetryBudget budget = new RetryBudget(0.2, 1, 10 * SECOND);
        int granted = 0;
        long now = 0;
        for (int wanted : retries) {
            now += 100_000;
            budget.deposit(now);
            for (int i = 0; i < wanted; i++) {
                granted += budget.tryWithdraw(now) ? 1 : 0;
            }
        }
        // Free: ten at the start, and one a second; a tenth of a second for each first try.
        assertTrue(granted <= 10 + retries.size() * 0.2 + retries.size() * 0.1 + 1, granted + " of " + retries.size());
    }

    @Test
    void unusedBudgetExpiresInAnIdleHour() {
        RetryBudget budget = new RetryBudget(0.5, 0, 10 * SECOND);
        for (int i = 0; i < 1000; i++) {
            budget.deposit(i);
        }
        assertTrue(budget.tryWithdraw(1000));
        assertFalse(budget.tryWithdraw(3600 * SECOND));
    }
}
