package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** When discovery is asked again after calls that failed: by the standing terms, however often it has failed. */
class PollScheduleTest {
    private static final long NOTIFIED_WITHIN = 6_000_000; // after discovery can be reached again
    private static final long WAITING = 2_000_000; // that a call takes which fails by waiting
    private static final long SILENT_WATCH_SLACK = 2_750_000; // left for a failed poll when a watch falls silent
    private static final long MARGIN = 500_000;
    private static final int CALLS = 12;
    private static final int SEEDS = 200;

    /** The pauses after so many failures in a row; the first of them ends a watch that has worked. */
    private static long[] pauses(long seed) {
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
        long[] pauses = new long[CALLS];
        for (int i = 0; i < CALLS; i++) {
            int before = harness.watchCalls;
            long failed = harness.now;
            harness.list(EndpointListKind.UNAVAILABLE, List.of());
            while (harness.watchCalls == before) {
                harness.advance(1_000);
            }
            pauses[i] = harness.now - failed;
        }
        return pauses;
    }

    /** Discovery comes back just as a call has failed, and the next call fails as well, by waiting. */
    @Test
    void discoveryIsReachedInTimeForASecondPollHoweverLongItWasDown() {
        for (long seed = 0; seed < SEEDS; seed++) {
            long[] pauses = pauses(seed);
            for (int i = 1; i < CALLS; i++) {
                long second = pauses[i - 1] + WAITING + pauses[i];
                assertTrue(second <= NOTIFIED_WITHIN, "the second poll begins " + second + " us after failure " + i);
            }
        }
    }

    /** A silent watch is given up so early that one failed poll fits in before the notification is late. */
    @Test
    void afterASilentWatchASecondPollFitsIntoTheNotificationTime() {
        for (long seed = 0; seed < SEEDS; seed++) {
            long[] pauses = pauses(seed);
            long second = pauses[0] + WAITING + pauses[1];
            assertTrue(
                    second <= SILENT_WATCH_SLACK + MARGIN,
                    "the second poll begins " + second + " us after the silence was noticed");
        }
    }

    /** A fleet doesn't come all at once: its calls are spread over most of the longest pause. */
    @Test
    void thePollsOfAFleetAreSpread() {
        for (int call = 4; call < CALLS; call++) {
            TreeSet<Long> at = new TreeSet<>();
            double sum = 0;
            for (long seed = 0; seed < SEEDS; seed++) {
                long pause = pauses(seed)[call];
                at.add(pause);
                sum += pause;
            }
            assertTrue(at.last() - at.first() >= 1_000_000, "all within " + (at.last() - at.first()) + " us");
            assertTrue(sum / SEEDS >= 1_200_000, "every " + sum / SEEDS + " us");
        }
    }

    @Test
    void discoveryIsPolledAgainAfterErrorsAndSilenceAtABoundedRate() {
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
        harness.advance(7_000_000); // silence: asked again within AskWithin
        assertEquals(2, harness.watchCalls);
        for (int i = 0; i < 20; i++) { // 20 s of errors
            harness.list(EndpointListKind.UNAVAILABLE, List.of());
            harness.advance(1_000_000);
        }
        assertTrue(
                harness.watchCalls >= 5 && harness.watchCalls <= 16, "asked " + harness.watchCalls + " times in 27 s");
        int before = harness.watchCalls;
        harness.list(EndpointListKind.DELTA, List.of());
        harness.advance(60_000_000);
        assertEquals(before, harness.watchCalls, "subscribed: nothing more to ask");
        Harness empty = new Harness(Harness.settings(Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL)), 3);
        assertNull(empty.list(EndpointListKind.CACHED, List.of()).request("r", 0));
    }
}
