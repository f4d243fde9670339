package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class LastByteEstimatorTest {
    private static final int MAX_UNREAD_BYTES = (int) LastByteEstimator.MAX_UNREAD_BYTES;

    @Test
    void whileTheSocketIsEmptyTheLastByteIsStillToCome() {
        LastByteEstimator estimator = new LastByteEstimator(1_000, 0);
        assertEquals(7, estimator.earliestNanos(7));
        estimator.readStarted(10);
        estimator.received(500, 12);
        assertEquals(10, estimator.earliestNanos(20));
        estimator.drained();
        assertEquals(30, estimator.earliestNanos(30));
    }

    @Test
    void whileTheSourceIsNotReadTheLastByteMayHaveBeenSent() {
        LastByteEstimator estimator = new LastByteEstimator(1_000, 0);
        estimator.paused(5);
        assertEquals(5, estimator.earliestNanos(1_000_000));
    }

    @Test
    void aRestThatNoBufferHoldsHasNotBeenSent() {
        LastByteEstimator estimator = new LastByteEstimator(2L * MAX_UNREAD_BYTES, 0);
        estimator.readStarted(1);
        estimator.received(MAX_UNREAD_BYTES - 1, 10);
        assertEquals(10, estimator.earliestNanos(50));
        estimator.received(1, 20);
        assertEquals(10, estimator.earliestNanos(50));
    }

    @Test
    void bytesBeyondWhatBuffersHoldWereSentLater() {
        LastByteEstimator estimator = new LastByteEstimator(-1, 0);
        estimator.readStarted(1);
        estimator.received(MAX_UNREAD_BYTES, 10);
        assertEquals(1, estimator.earliestNanos(50));
        estimator.received(1, 20);
        estimator.received(MAX_UNREAD_BYTES + 1, 30);
        assertEquals(20, estimator.earliestNanos(50));
    }

    /** A client writes at a random speed into buffers of random size, and the receiver reads and pauses at random. */
    @Test
    void theEstimateIsNeverAfterTheLastByte() {
        for (int seed = 0; seed < 2_000; seed++) {
            Random random = new Random(seed);
            int length = 1 + random.nextInt(4 * MAX_UNREAD_BYTES);
            int bufferBytes = 1 + random.nextInt(MAX_UNREAD_BYTES);
            LastByteEstimator estimator = new LastByteEstimator(random.nextBoolean() ? length : -1, 0);
            int sent = 0;
            int received = 0;
            long lastByteNanos = -1;
            boolean paused = false;
            for (long now = 1; received < length; now++) {
                sent = Math.min(Math.min(length, received + bufferBytes), sent + random.nextInt(MAX_UNREAD_BYTES));
                lastByteNanos = sent == length && lastByteNanos < 0 ? now : lastByteNanos;
                boolean pausing = random.nextInt(3) == 0;
                if (pausing && !paused) {
                    estimator.paused(now);
                }
                paused = pausing;
                if (!paused && sent > received) {
                    estimator.readStarted(now);
                    int count = Math.min(sent - received, 1 + random.nextInt(bufferBytes));
                    received += count;
                    estimator.received(count, now);
                    if (received == sent && received < length) {
                        estimator.drained();
                    }
                }
                boolean knownToBeIncomplete = received == sent && received < length && !paused;
                if (lastByteNanos >= 0 && !knownToBeIncomplete) {
                    assertTrue(estimator.earliestNanos(now) <= lastByteNanos, "seed " + seed);
                }
            }
        }
    }
}
