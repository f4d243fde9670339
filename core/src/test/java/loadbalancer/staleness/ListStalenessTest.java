package loadbalancer.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When changes count as notified, by the figures of the standing terms. */
class ListStalenessTest {
    private static final long SECOND = 1_000_000;

    private static ListStaleness polled(long grace) {
        return new ListStaleness(false, grace, 10 * SECOND);
    }

    /** One failed try of 2 s and the pause after it fit between the silence and the end of the grace. */
    @Test
    void aSilentWatchTimesOutInTimeForASecondCall() {
        for (long grace = 0; grace <= 5 * SECOND; grace += 50_000) {
            long idleTimeout = polled(grace).watchIdleTimeoutMicros();
            assertTrue(idleTimeout >= 3 * SECOND, "a line that is a second late is no silence: " + idleTimeout);
            assertTrue(idleTimeout <= 4_500_000, "two lines are missing by then: " + idleTimeout);
            assertTrue(
                    idleTimeout == 3 * SECOND || idleTimeout + 2_750_000 < 6 * SECOND + grace,
                    "no second try within a grace of " + grace);
        }
        assertTrue(polled(600_000).watchIdleTimeoutMicros() < polled(1_500_000).watchIdleTimeoutMicros());
    }

    /** The terms give 6 s from the start of a process, which itself takes some 2 s on half a core. */
    @Test
    void theStartupTimeoutLeavesTimeForTheProcessItself() {
        assertTrue(polled(SECOND).startupTimeoutMicros() + 2_500_000 < 6 * SECOND);
        assertTrue(polled(SECOND).startupTimeoutMicros() > 2 * SECOND, "an empty line may come every 2 s");
    }

    @Test
    void aListInTimeIsNotifiedAsItArrives() {
        ListStaleness staleness = polled(SECOND);
        staleness.watchSilentSince(10 * SECOND);
        assertEquals(14 * SECOND, staleness.listArrived(14 * SECOND));
    }

    @Test
    void whatASilentWatchMissesIsNotifiedSixSecondsAfterItsLastLine() {
        ListStaleness staleness = polled(SECOND);
        staleness.watchSilentSince(10 * SECOND);
        assertEquals(16 * SECOND, staleness.listArrived(17 * SECOND));
        assertEquals(18 * SECOND, staleness.listArrived(18 * SECOND)); // the new watch works
    }

    @Test
    void aNewDiscoverysListIsNotifiedFourSecondsAfterItsConfiguration() {
        ListStaleness staleness = polled(SECOND);
        staleness.discoveryChanged(10 * SECOND);
        assertEquals(14 * SECOND, staleness.listArrived(15 * SECOND));
    }

    /** Neither a failed try nor a move gives what was missed before any more time. */
    @Test
    void theEarliestNotificationTimeHolds() {
        ListStaleness staleness = polled(SECOND);
        staleness.watchSilentSince(10 * SECOND);
        staleness.watchEnded(13 * SECOND);
        staleness.discoveryChanged(14 * SECOND);
        assertEquals(16 * SECOND, staleness.listArrived(20 * SECOND));
    }

    @Test
    void wherePushedTheAgentsListIsNotifiedWithoutAWatch() {
        ListStaleness staleness = new ListStaleness(true, SECOND, 0);
        staleness.watchEnded(10 * SECOND);
        assertEquals(10 * SECOND, staleness.listArrived(11 * SECOND));
    }

    @Test
    void wherePushedTheFirstListLeavesNoGracePeriod() {
        ListStaleness staleness = new ListStaleness(true, SECOND, 0);
        staleness.started(10 * SECOND);
        assertEquals(0, staleness.listArrived(11 * SECOND));
        ListStaleness polled = polled(SECOND);
        polled.started(10 * SECOND);
        assertEquals(15 * SECOND, polled.listArrived(15 * SECOND));
    }

    @Test
    void wherePushedTheResponseTimeoutIsHalfAGracePeriodAtMost() {
        assertEquals(500_000, new ListStaleness(true, 900_000, 0).responseTimeoutMicros());
        assertEquals(1_500_000, new ListStaleness(true, 3 * SECOND, 0).responseTimeoutMicros());
        assertEquals(polled(900_000).watchIdleTimeoutMicros(), polled(900_000).responseTimeoutMicros());
    }

    @Test
    void wherePolledAListHoldsForThePollInterval() {
        ListStaleness staleness = new ListStaleness(false, SECOND, 3 * SECOND);
        staleness.watchEnded(10 * SECOND);
        assertEquals(13 * SECOND, staleness.listArrived(15 * SECOND));
    }
}
