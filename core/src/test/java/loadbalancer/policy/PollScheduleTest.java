package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Tests when discovery is polled again after failed calls, and that changes are notified in time however often calls
 * have failed.
 */
class PollScheduleTest {
    private static final long MAX_NOTIFICATION_MICROS = 6_000_000; // after discovery can be reached again
    private static final long CALL_TIMEOUT_MICROS = 2_000_000; // duration of a call that gets no response
    private static final long SILENT_WATCH_SLACK_MICROS = 2_750_000; // left for a failed poll after a watch fell silent
    private static final long MARGIN_MICROS = 500_000;
    private static final int CALLS = 12;
    private static final int SEEDS = 200;

    /**
     * Returns the delay of the next poll after each of several failures in a row. The first failure ends a watch that
     * has worked.
     */
    private static long[] pollDelays(long seed) {
        Harness harness = new Harness(
                Harness.settings(
                        20,
                        true,
                        DiscoveryMode.POLL,
                        List.of(),
                        Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL)),
                seed);
        harness.list(EndpointListKind.CACHED, Harness.fleet(3)).list(EndpointListKind.SNAPSHOT, Harness.fleet(3));
        harness.advance(10_000_000);
        long[] pollDelays = new long[CALLS];
        for (int i = 0; i < CALLS; i++) {
            int before = harness.watchCalls;
            long failedAt = harness.now;
            harness.list(EndpointListKind.UNAVAILABLE, List.of());
            while (harness.watchCalls == before) {
                harness.advance(1_000);
            }
            pollDelays[i] = harness.now - failedAt;
        }
        return pollDelays;
    }

    /** Discovery becomes reachable just after a call has failed, and the next call times out as well. */
    @Test
    void aSecondPollIsInTimeHoweverLongDiscoveryWasUnreachable() {
        for (long seed = 0; seed < SEEDS; seed++) {
            long[] pollDelays = pollDelays(seed);
            for (int i = 1; i < CALLS; i++) {
                long second = pollDelays[i - 1] + CALL_TIMEOUT_MICROS + pollDelays[i];
                assertTrue(
                        second <= MAX_NOTIFICATION_MICROS,
                        "the second poll begins " + second + " us after failure " + i);
            }
        }
    }

    /** A silent watch is given up early enough for one failed poll before the notification is late. */
    @Test
    void afterASilentWatchASecondPollIsInTime() {
        for (long seed = 0; seed < SEEDS; seed++) {
            long[] pollDelays = pollDelays(seed);
            long second = pollDelays[0] + CALL_TIMEOUT_MICROS + pollDelays[1];
            assertTrue(
                    second <= SILENT_WATCH_SLACK_MICROS + MARGIN_MICROS,
                    "the second poll begins " + second + " us after the silence was noticed");
        }
    }

    /** The balancers of a fleet don't poll at the same time: their polls are spread over most of the longest delay. */
    @Test
    void thePollsOfAFleetAreSpread() {
        for (int call = 4; call < CALLS; call++) {
            TreeSet<Long> delays = new TreeSet<>();
            double sum = 0;
            for (long seed = 0; seed < SEEDS; seed++) {
                long delay = pollDelays(seed)[call];
                delays.add(delay);
                sum += delay;
            }
            assertTrue(
                    delays.last() - delays.first() >= 1_000_000,
                    "all polls are within " + (delays.last() - delays.first()) + " us");
            assertTrue(sum / SEEDS >= 1_200_000, "mean delay " + sum / SEEDS + " us");
        }
    }

    @Test
    void discoveryIsPolledAgainAtABoundedRateAfterErrorsAndWithoutResponse() {
        Harness harness = new Harness(
                        Harness.settings(
                                2,
                                true,
                                DiscoveryMode.POLL,
                                List.of(),
                                Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL)),
                        3)
                .list(EndpointListKind.CACHED, Harness.fleet(2));
        assertEquals(1, harness.watchCalls);
        harness.advance(7_000_000); // no response: polled again within the poll interval
        assertEquals(2, harness.watchCalls);
        for (int i = 0; i < 20; i++) { // 20 s of errors
            harness.list(EndpointListKind.UNAVAILABLE, List.of());
            harness.advance(1_000_000);
        }
        assertTrue(
                harness.watchCalls >= 5 && harness.watchCalls <= 16, "polled " + harness.watchCalls + " times in 27 s");
        int before = harness.watchCalls;
        harness.list(EndpointListKind.DELTA, List.of());
        harness.advance(60_000_000);
        assertEquals(before, harness.watchCalls, "no polls while subscribed");
        Harness empty = new Harness(Harness.settings(Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL)), 3);
        assertNull(empty.list(EndpointListKind.CACHED, List.of()).request("r", 0));
    }
}
