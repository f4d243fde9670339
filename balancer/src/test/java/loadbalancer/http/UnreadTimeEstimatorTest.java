package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.SelectStrategy;
import org.junit.jupiter.api.Test;

class UnreadTimeEstimatorTest {
    private long nowNanos;
    private final UnreadTimeEstimator estimator = new UnreadTimeEstimator(() -> nowNanos);

    private int round(int ready, boolean tasks) throws Exception {
        return estimator.calculateStrategy(() -> ready, tasks);
    }

    private void setMillis(long millis) {
        nowNanos = millis * 1_000_000;
    }

    @Test
    void dataThatEndsASelectHasJustArrived() throws Exception {
        setMillis(10);
        assertEquals(SelectStrategy.SELECT, round(0, false));
        setMillis(500);
        assertEquals(0, estimator.unreadMicros());
        setMillis(503); // the next of the same round waited for the first to be seen to
        assertEquals(3_000, estimator.unreadMicros());
    }

    /** A round takes 300 ms: what is read after it may have arrived right after it began. */
    @Test
    void dataMayBeAsOldAsTheRoundBefore() throws Exception {
        setMillis(10);
        round(0, true); // tasks alone, which take long
        setMillis(310);
        assertEquals(1, round(1, true));
        assertEquals(300_000, estimator.unreadMicros());
        setMillis(320);
        assertEquals(310_000, estimator.unreadMicros());
        round(1, false);
        setMillis(325);
        assertEquals(15_000, estimator.unreadMicros());
    }

    @Test
    void tasksDontWaitForASelect() throws Exception {
        assertEquals(0, round(0, true));
        assertEquals(SelectStrategy.SELECT, round(0, false));
        assertEquals(2, round(2, false));
    }
}
