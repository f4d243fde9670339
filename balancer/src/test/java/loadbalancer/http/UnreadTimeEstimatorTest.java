package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.SelectStrategy;
import org.junit.jupiter.api.Test;

class UnreadTimeEstimatorTest {
    private long nowNanos;
    private final UnreadTimeEstimator estimator = new UnreadTimeEstimator(() -> nowNanos);

    private int poll(int readyChannels, boolean hasTasks) throws Exception {
        return estimator.calculateStrategy(() -> readyChannels, hasTasks);
    }

    private void setTimeMillis(long millis) {
        nowNanos = millis * 1_000_000;
    }

    @Test
    void dataThatEndsASelectHasNotWaited() throws Exception {
        setTimeMillis(10);
        assertEquals(SelectStrategy.SELECT, poll(0, false));
        setTimeMillis(500);
        assertEquals(0, estimator.estimateUnreadMicros());
        setTimeMillis(503); // the next data of this iteration may have waited while the first was processed
        assertEquals(3_000, estimator.estimateUnreadMicros());
    }

    /** An iteration takes 300 ms: data that is read after it may have arrived right after its poll. */
    @Test
    void dataMayHaveWaitedSinceThePreviousPoll() throws Exception {
        setTimeMillis(10);
        poll(0, true); // an iteration of tasks only, which take 300 ms
        setTimeMillis(310);
        assertEquals(1, poll(1, true));
        assertEquals(300_000, estimator.estimateUnreadMicros());
        setTimeMillis(320);
        assertEquals(310_000, estimator.estimateUnreadMicros());
        poll(1, false);
        setTimeMillis(325);
        assertEquals(15_000, estimator.estimateUnreadMicros());
    }

    @Test
    void selectIsSkippedWhileThereAreTasks() throws Exception {
        assertEquals(0, poll(0, true));
        assertEquals(SelectStrategy.SELECT, poll(0, false));
        assertEquals(2, poll(2, false));
    }
}
