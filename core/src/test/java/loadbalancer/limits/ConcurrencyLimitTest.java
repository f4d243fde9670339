package loadbalancer.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The limits before a station of so many servers, first come first served, with a waiting room. */
class ConcurrencyLimitTest {
    private static final long SECOND = 1_000_000;

    /** What came of a run: mean limit, goodput as a share of capacity and mean latency over its last half. */
    private record Seen(double limit, double goodput, double latency) {}

    private record End(long at, long began, int open) implements Comparable<End> {
        @Override
        public int compareTo(End other) {
            return Long.compare(at, other.at);
        }
    }

    // Arrivals at `load` times capacity; each takes 10 ms of a server, `heavier` times that after half of the time.
    private static Seen run(ConcurrencyLimitConfig plan, int servers, double load, double heavier, int room) {
        ConcurrencyLimit limit = plan.create();
        Random random = new Random(7);
        PriorityQueue<End> running = new PriorityQueue<>();
        ArrayDeque<long[]> waiting = new ArrayDeque<>();
        long span = 120 * SECOND;
        double work = 10_000;
        double gap = work / servers / load;
        double next = 0;
        int open = 0;
        double limits = 0;
        long looked = 0;
        long served = 0;
        double latency = 0;
        while (next < span) {
            double mean = next > span / 2 ? work * heavier : work;
            while (!running.isEmpty() && running.peek().at <= next) {
                End e = running.poll();
                open--;
                limit.ended(e.at, e.at - e.began, false, e.open);
                if (e.at > span * 3 / 4) {
                    served++;
                    latency += e.at - e.began;
                }
                long[] w = waiting.poll();
                if (w != null) {
                    running.add(new End(e.at + time(random, mean), w[0], (int) w[1]));
                }
            }
            long now = (long) next;
            if (open < limit.limit()) {
                open++;
                if (running.size() < servers) {
                    running.add(new End(now + time(random, mean), now, open));
                } else if (waiting.size() < room) {
                    waiting.add(new long[] {now, open});
                } else {
                    open--;
                    limit.ended(now, 0, true, open + 1);
                }
            }
            if (now > span * 3 / 4) {
                limits += limit.limit();
                looked++;
            }
            next += -Math.log(1 - random.nextDouble()) * gap;
        }
        return new Seen(limits / looked, served * work * heavier / servers / (span / 4.0), latency / served);
    }

    private static long time(Random random, double mean) {
        return Math.max(1, (long) (-Math.log(1 - random.nextDouble()) * mean));
    }

    @Test
    void aFixedLimitNeverChanges() {
        Seen seen = run(ConcurrencyLimitConfig.fixed(40), 10, 1.5, 1, 1000);
        assertEquals(40, seen.limit, 1e-9);
        assertEquals(
                0,
                new ConcurrencyLimitConfig(LimitAlgorithm.FIXED, 0, 0, 0)
                        .create()
                        .limit());
        for (int[] p : new int[][] {{5, 10, 20}, {30, 10, 20}, {10, 0, 20}}) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> new ConcurrencyLimitConfig(LimitAlgorithm.AIMD, p[0], p[1], p[2]));
        }
    }

    @Test
    void allKeepGoodputAndLatencyBasedLimitsKeepTheQueueShort() {
        for (int servers : new int[] {10, 100}) {
            double aimd = run(
                            new ConcurrencyLimitConfig(LimitAlgorithm.AIMD, servers, 1, 100 * servers),
                            servers,
                            1.4,
                            1,
                            20 * servers)
                    .latency;
            for (LimitAlgorithm kind :
                    new LimitAlgorithm[] {LimitAlgorithm.AIMD, LimitAlgorithm.VEGAS, LimitAlgorithm.GRADIENT}) {
                Seen s =
                        run(new ConcurrencyLimitConfig(kind, servers, 1, 100 * servers), servers, 1.4, 1, 20 * servers);
                assertTrue(s.goodput > 0.8, kind + " before " + servers + ": " + s);
                assertTrue(
                        kind == LimitAlgorithm.AIMD || s.latency < aimd / 3,
                        kind + " before " + servers + ": " + s + ", " + aimd);
            }
        }
    }

    @Test
    void slowerWorkIsLearnedAsTheNewBaseLatency() {
        for (LimitAlgorithm kind : new LimitAlgorithm[] {LimitAlgorithm.VEGAS, LimitAlgorithm.GRADIENT}) {
            Seen s = run(new ConcurrencyLimitConfig(kind, 10, 1, 10_000), 10, 1.4, 4, 1000);
            assertTrue(s.goodput > 0.75, kind + ": " + s);
        }
    }

    @Test
    void anUnusedLimitDoesNotGrow() {
        for (LimitAlgorithm kind :
                new LimitAlgorithm[] {LimitAlgorithm.AIMD, LimitAlgorithm.VEGAS, LimitAlgorithm.GRADIENT}) {
            Seen s = run(new ConcurrencyLimitConfig(kind, 100, 1, 10_000), 10, 0.3, 1, 1000);
            assertTrue(s.limit <= 101, kind + ": " + s);
        }
    }
}
