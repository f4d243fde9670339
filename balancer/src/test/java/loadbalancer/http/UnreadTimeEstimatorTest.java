package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.SelectStrategy;
import org.junit.jupiter.api.Test;

class UnreadTimeEstimatorTest {
    private long now;
    private final UnreadTimeEstimator polls = new UnreadTimeEstimator(() -> now);

    private int round(int ready, boolean tasks) throws Exception {
        return polls.calculateStrategy(() -> ready, tasks);
    }

    private void msAt(long ms) {
        now = ms * 1_000_000;
    }

    @Test
    void whatEndsAWaitHasOnlyJustCome() throws Exception {
        msAt(10);
        assertEquals(SelectStrategy.SELECT, round(0, false));
        msAt(500);
        assertEquals(0, polls.unreadMicros());
        msAt(503); // the next of the same round waited for the first to be seen to
        assertEquals(3_000, polls.unreadMicros());
    }

    /** A round took 300 ms: what lies there after it may have come right after it began. */
    @Test
    void whatCameDuringALongRoundMayBeAsOldAsTheRound() throws Exception {
        msAt(10);
        round(0, true); // tasks alone, which take long
        msAt(310);
        assertEquals(1, round(1, true));
        assertEquals(300_000, polls.unreadMicros());
        msAt(320);
        assertEquals(310_000, polls.unreadMicros());
        round(1, false);
        msAt(325);
        assertEquals(15_000, polls.unreadMicros());
    }

    @Test
    void tasksAreNotKeptWaiting() throws Exception {
        assertEquals(0, round(0, true));
        assertEquals(SelectStrategy.SELECT, round(0, false));
        assertEquals(2, round(2, false));
    }
}
