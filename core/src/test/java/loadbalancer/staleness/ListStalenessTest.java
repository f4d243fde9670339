package loadbalancer.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When news counts as told, by the terms' figures. */
class ListStalenessTest {
    private static final long SECOND = 1_000_000;

    private static ListStaleness asked(long grace) {
        return new ListStaleness(false, grace, 10 * SECOND);
    }

    /** One failed try of 2 s and the pause after it fit between the silence and the end of the grace. */
    @Test
    void aSilentWatchIsGivenUpInTimeForASecondTry() {
        for (long grace = 0; grace <= 5 * SECOND; grace += 50_000) {
            long patience = asked(grace).patience();
            assertTrue(patience >= 3 * SECOND, "a line that is a second late is no silence: " + patience);
            assertTrue(patience <= 4_500_000, "two lines are missing by then: " + patience);
            assertTrue(
                    patience == 3 * SECOND || patience + 2_750_000 < 6 * SECOND + grace,
                    "no second try within a grace of " + grace);
        }
        assertTrue(asked(600_000).patience() < asked(1_500_000).patience());
    }

    /** The terms give 6 s from the start of a process, which itself takes some 2 s on half a core. */
    @Test
    void aStartLeavesTimeForTheProcessItself() {
        assertTrue(asked(SECOND).startWithin() + 2_500_000 < 6 * SECOND);
        assertTrue(asked(SECOND).startWithin() > 2 * SECOND, "an empty line may come every 2 s");
    }

    @Test
    void whatComesInTimeIsToldAsItComes() {
        ListStaleness staleness = asked(SECOND);
        staleness.silentSince(10 * SECOND);
        assertEquals(14 * SECOND, staleness.told(14 * SECOND));
    }

    @Test
    void whatASilentWatchMissedCountsSixSecondsAfterItFellSilent() {
        ListStaleness staleness = asked(SECOND);
        staleness.silentSince(10 * SECOND);
        assertEquals(16 * SECOND, staleness.told(17 * SECOND));
        assertEquals(18 * SECOND, staleness.told(18 * SECOND)); // the new watch works
    }

    @Test
    void aNewDiscoveryIsToldOfFourSecondsAfterItsConfiguration() {
        ListStaleness staleness = asked(SECOND);
        staleness.moved(10 * SECOND);
        assertEquals(14 * SECOND, staleness.told(15 * SECOND));
    }

    /** Neither a failed try nor a move gives what was missed before any more time. */
    @Test
    void theEarliestClockHolds() {
        ListStaleness staleness = asked(SECOND);
        staleness.silentSince(10 * SECOND);
        staleness.unwatched(13 * SECOND);
        staleness.moved(14 * SECOND);
        assertEquals(16 * SECOND, staleness.told(20 * SECOND));
    }

    @Test
    void wherePushedWhatTheAgentHasCountsWithoutAWatch() {
        ListStaleness staleness = new ListStaleness(true, SECOND, 0);
        staleness.unwatched(10 * SECOND);
        assertEquals(10 * SECOND, staleness.told(11 * SECOND));
    }

    @Test
    void wherePushedNoGraceIsLeftOfWhatAnAgentHadAtTheStart() {
        ListStaleness staleness = new ListStaleness(true, SECOND, 0);
        staleness.started(10 * SECOND);
        assertEquals(0, staleness.told(11 * SECOND));
        ListStaleness asked = asked(SECOND);
        asked.started(10 * SECOND);
        assertEquals(15 * SECOND, asked.told(15 * SECOND));
    }

    @Test
    void wherePushedACallThatHangsCostsHalfAGraceAtMost() {
        assertEquals(500_000, new ListStaleness(true, 900_000, 0).answerWithin());
        assertEquals(1_500_000, new ListStaleness(true, 3 * SECOND, 0).answerWithin());
        assertEquals(asked(900_000).patience(), asked(900_000).answerWithin());
    }

    @Test
    void whereAskedAListHoldsForTheTimeThatTheSettingsGive() {
        ListStaleness staleness = new ListStaleness(false, SECOND, 3 * SECOND);
        staleness.unwatched(10 * SECOND);
        assertEquals(13 * SECOND, staleness.told(15 * SECOND));
    }
}
