package loadbalancer.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Concurrency limits in front of a simulated station: a number of servers with one FIFO queue of limited length. */
class ConcurrencyLimitTest {
    private static final long SECOND_MICROS = 1_000_000;

    /** Result of a run: mean limit, goodput as a fraction of capacity, and mean latency, all over its last quarter. */
    private record RunResult(double limit, double goodput, double latencyMicros) {}

    private record Completion(long atMicros, long startMicros, int inFlight) implements Comparable<Completion> {
        @Override
        public int compareTo(Completion other) {
            return Long.compare(atMicros, other.atMicros);
        }
    }

    // Requests arrive at `load` times the capacity. Each takes 10 ms of a server on average, and `slowdown` times
    // that in the second half of the run.
    private static RunResult run(
            ConcurrencyLimitConfig config, int servers, double load, double slowdown, int maxQueueLength) {
        ConcurrencyLimit limit = config.create();
        Random random = new Random(7);
        PriorityQueue<Completion> running = new PriorityQueue<>();
        ArrayDeque<long[]> queue = new ArrayDeque<>();
        long endMicros = 120 * SECOND_MICROS;
        double workMicros = 10_000;
        double interarrivalMicros = workMicros / servers / load;
        double arrivalMicros = 0;
        int inFlight = 0;
        double limitSum = 0;
        long samples = 0;
        long served = 0;
        double latencySum = 0;
        while (arrivalMicros < endMicros) {
            double meanMicros = arrivalMicros > endMicros / 2 ? workMicros * slowdown : workMicros;
            while (!running.isEmpty() && running.peek().atMicros <= arrivalMicros) {
                Completion done = running.poll();
                inFlight--;
                limit.ended(done.atMicros, done.atMicros - done.startMicros, false, done.inFlight);
                if (done.atMicros > endMicros * 3 / 4) {
                    served++;
                    latencySum += done.atMicros - done.startMicros;
                }
                long[] queued = queue.poll();
                if (queued != null) {
                    running.add(new Completion(done.atMicros + sample(random, meanMicros), queued[0], (int) queued[1]));
                }
            }
            long nowMicros = (long) arrivalMicros;
            if (inFlight < limit.limit()) {
                inFlight++;
                if (running.size() < servers) {
                    running.add(new Completion(nowMicros + sample(random, meanMicros), nowMicros, inFlight));
                } else if (queue.size() < maxQueueLength) {
                    queue.add(new long[] {nowMicros, inFlight});
                } else {
                    inFlight--;
                    limit.ended(nowMicros, 0, true, inFlight + 1);
                }
            }
            if (nowMicros > endMicros * 3 / 4) {
                limitSum += limit.limit();
                samples++;
            }
            arrivalMicros += -Math.log(1 - random.nextDouble()) * interarrivalMicros;
        }
        return new RunResult(
                limitSum / samples, served * workMicros * slowdown / servers / (endMicros / 4.0), latencySum / served);
    }

    private static long sample(Random random, double meanMicros) {
        return Math.max(1, (long) (-Math.log(1 - random.nextDouble()) * meanMicros));
    }

    @Test
    void aFixedLimitNeverChanges() {
        RunResult result = run(ConcurrencyLimitConfig.fixed(40), 10, 1.5, 1, 1000);
        assertEquals(40, result.limit, 1e-9);
        assertEquals(
                0,
                new ConcurrencyLimitConfig(LimitAlgorithm.FIXED, 0, 0, 0)
                        .create()
                        .limit());
        for (int[] bounds : new int[][] {{5, 10, 20}, {30, 10, 20}, {10, 0, 20}}) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> new ConcurrencyLimitConfig(LimitAlgorithm.AIMD, bounds[0], bounds[1], bounds[2]));
        }
    }

    @Test
    void allLimitsKeepGoodputAndLatencyBasedOnesKeepTheQueueShort() {
        for (int servers : new int[] {10, 100}) {
            double aimdLatencyMicros = run(
                            new ConcurrencyLimitConfig(LimitAlgorithm.AIMD, servers, 1, 100 * servers),
                            servers,
                            1.4,
                            1,
                            20 * servers)
                    .latencyMicros;
            for (LimitAlgorithm algorithm :
                    new LimitAlgorithm[] {LimitAlgorithm.AIMD, LimitAlgorithm.VEGAS, LimitAlgorithm.GRADIENT}) {
                RunResult result = run(
                        new ConcurrencyLimitConfig(algorithm, servers, 1, 100 * servers),
                        servers,
                        1.4,
                        1,
                        20 * servers);
                assertTrue(result.goodput > 0.8, algorithm + " before " + servers + ": " + result);
                assertTrue(
                        algorithm == LimitAlgorithm.AIMD || result.latencyMicros < aimdLatencyMicros / 3,
                        algorithm + " before " + servers + ": " + result + ", " + aimdLatencyMicros);
            }
        }
    }

    @Test
    void slowerWorkIsLearnedAsTheNewBaseLatency() {
        for (LimitAlgorithm algorithm : new LimitAlgorithm[] {LimitAlgorithm.VEGAS, LimitAlgorithm.GRADIENT}) {
            RunResult result = run(new ConcurrencyLimitConfig(algorithm, 10, 1, 10_000), 10, 1.4, 4, 1000);
            assertTrue(result.goodput > 0.75, algorithm + ": " + result);
        }
    }

    @Test
    void anUnusedLimitDoesNotGrow() {
        for (LimitAlgorithm algorithm :
                new LimitAlgorithm[] {LimitAlgorithm.AIMD, LimitAlgorithm.VEGAS, LimitAlgorithm.GRADIENT}) {
            RunResult result = run(new ConcurrencyLimitConfig(algorithm, 100, 1, 10_000), 10, 0.3, 1, 1000);
            assertTrue(result.limit <= 101, algorithm + ": " + result);
        }
    }
}
