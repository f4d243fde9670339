package loadbalancer.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When changes of an endpoint list count as notified. */
class ListStalenessTest {
    private static final long SECOND_MICROS = 1_000_000;

    private static ListStaleness polled(long drainGracePeriodMicros) {
        return new ListStaleness(false, drainGracePeriodMicros, 10 * SECOND_MICROS);
    }

    /** A failed call of 2 s and the pause after it fit between the timeout and the end of the grace period. */
    @Test
    void aSilentWatchTimesOutInTimeForASecondCall() {
        for (long drainGracePeriodMicros = 0;
                drainGracePeriodMicros <= 5 * SECOND_MICROS;
                drainGracePeriodMicros += 50_000) {
            long idleTimeout = polled(drainGracePeriodMicros).watchIdleTimeoutMicros();
            assertTrue(idleTimeout >= 3 * SECOND_MICROS, "a heartbeat may be a second late: " + idleTimeout);
            assertTrue(idleTimeout <= 4_500_000, "two heartbeats are missing by then: " + idleTimeout);
            assertTrue(
                    idleTimeout == 3 * SECOND_MICROS
                            || idleTimeout + 2_750_000 < 6 * SECOND_MICROS + drainGracePeriodMicros,
                    "no time for a second call within a grace period of " + drainGracePeriodMicros);
        }
        assertTrue(polled(600_000).watchIdleTimeoutMicros() < polled(1_500_000).watchIdleTimeoutMicros());
    }

    /** A process must be ready 6 s after its start, of which the start itself takes about 2 s on half a core. */
    @Test
    void theStartupTimeoutLeavesTimeForTheProcessItself() {
        assertTrue(polled(SECOND_MICROS).startupTimeoutMicros() + 2_500_000 < 6 * SECOND_MICROS);
        assertTrue(polled(SECOND_MICROS).startupTimeoutMicros() > 2 * SECOND_MICROS, "a heartbeat comes every 2 s");
    }

    @Test
    void aListInTimeCountsAsNotifiedOnArrival() {
        ListStaleness staleness = polled(SECOND_MICROS);
        staleness.watchSilentSince(10 * SECOND_MICROS);
        assertEquals(14 * SECOND_MICROS, staleness.listArrived(14 * SECOND_MICROS));
    }

    @Test
    void changesMissedBySilentWatchCountAsNotifiedSixSecondsAfterItsLastLine() {
        ListStaleness staleness = polled(SECOND_MICROS);
        staleness.watchSilentSince(10 * SECOND_MICROS);
        assertEquals(16 * SECOND_MICROS, staleness.listArrived(17 * SECOND_MICROS));
        assertEquals(18 * SECOND_MICROS, staleness.listArrived(18 * SECOND_MICROS)); // over the new watch
    }

    @Test
    void listOfANewDiscoveryCountsAsNotifiedFourSecondsAfterItsConfiguration() {
        ListStaleness staleness = polled(SECOND_MICROS);
        staleness.discoveryChanged(10 * SECOND_MICROS);
        assertEquals(14 * SECOND_MICROS, staleness.listArrived(15 * SECOND_MICROS));
    }

    /**
     * Neither the end of the watch nor another discovery delays the notification of changes that were missed before.
     */
    @Test
    void theEarliestNotificationTimeHolds() {
        ListStaleness staleness = polled(SECOND_MICROS);
        staleness.watchSilentSince(10 * SECOND_MICROS);
        staleness.watchEnded(13 * SECOND_MICROS);
        staleness.discoveryChanged(14 * SECOND_MICROS);
        assertEquals(16 * SECOND_MICROS, staleness.listArrived(20 * SECOND_MICROS));
    }

    @Test
    void pushedListCountsAsNotifiedWithoutAWatch() {
        ListStaleness staleness = new ListStaleness(true, SECOND_MICROS, 0);
        staleness.watchEnded(10 * SECOND_MICROS);
        assertEquals(10 * SECOND_MICROS, staleness.listArrived(11 * SECOND_MICROS));
    }

    @Test
    void firstPushedListLeavesNoGracePeriod() {
        ListStaleness staleness = new ListStaleness(true, SECOND_MICROS, 0);
        staleness.started(10 * SECOND_MICROS);
        assertEquals(0, staleness.listArrived(11 * SECOND_MICROS));
        ListStaleness polled = polled(SECOND_MICROS);
        polled.started(10 * SECOND_MICROS);
        assertEquals(15 * SECOND_MICROS, polled.listArrived(15 * SECOND_MICROS));
    }

    @Test
    void responseTimeoutForPushedListsIsAtMostHalfAGracePeriod() {
        assertEquals(500_000, new ListStaleness(true, 900_000, 0).responseTimeoutMicros());
        assertEquals(1_500_000, new ListStaleness(true, 3 * SECOND_MICROS, 0).responseTimeoutMicros());
        assertEquals(polled(900_000).watchIdleTimeoutMicros(), polled(900_000).responseTimeoutMicros());
    }

    @Test
    void polledListIsValidForThePollInterval() {
        ListStaleness staleness = new ListStaleness(false, SECOND_MICROS, 3 * SECOND_MICROS);
        staleness.watchEnded(10 * SECOND_MICROS);
        assertEquals(13 * SECOND_MICROS, staleness.listArrived(15 * SECOND_MICROS));
    }
}
