package loadbalancer.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class LastByteEstimatorTest {
    private static final long STEP_NANOS = 1_000_000;
    private static final long WINDOW_OPENING_NANOS = LastByteEstimator.WINDOW_OPENING_NANOS;
    private static final int MAX_UNREAD_BYTES = (int) LastByteEstimator.MAX_UNREAD_BYTES;

    @Test
    void whileTheSocketIsEmptyTheLastByteIsStillToCome() {
        LastByteEstimator estimator = new LastByteEstimator(1_000, 0);
        assertEquals(7, estimator.earliestNanos(7));
        estimator.readStarted(10);
        estimator.received(500, 12);
        assertEquals(10, estimator.earliestNanos(20));
        estimator.drained(25);
        assertEquals(30, estimator.earliestNanos(30));
    }

    @Test
    void whileTheSourceIsNotReadTheLastByteMayHaveBeenSent() {
        LastByteEstimator estimator = new LastByteEstimator(1_000, 0);
        estimator.paused(5);
        assertEquals(5, estimator.earliestNanos(1_000_000));
    }

    /** Guards against an empty socket that is taken for proof while the rest waits in the sender's socket. */
    @Test
    void afterAPauseTheSocketHasToStayEmptyForTheRestToBeStillToCome() {
        LastByteEstimator estimator = new LastByteEstimator(1_000, 0);
        estimator.paused(5);
        estimator.readStarted(100);
        estimator.received(500, 100);
        estimator.drained(110);
        assertEquals(5, estimator.earliestNanos(120));
        estimator.readStarted(110 + WINDOW_OPENING_NANOS - 1);
        assertEquals(5, estimator.earliestNanos(1_000_000_000));
        estimator.received(100, 200_000_000);
        estimator.drained(200_000_000);
        assertEquals(210_000_000, estimator.earliestNanos(210_000_000 + WINDOW_OPENING_NANOS));
        estimator.readStarted(300_000_000);
        assertEquals(300_000_000 - WINDOW_OPENING_NANOS, estimator.earliestNanos(400_000_000));
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

    /**
     * A client writes at a random speed into buffers of random size, and the receiver reads and pauses at random. While
     * it pauses, its window closes; what waits in the client's buffer arrives some time after the window has opened.
     */
    @Test
    void theEstimateIsNeverAfterTheLastByte() {
        for (int seed = 0; seed < 2_000; seed++) {
            new RandomTransfer(new Random(seed)).run("seed " + seed);
        }
    }

    /** One transfer; each step takes a millisecond. */
    private static final class RandomTransfer {
        private final Random random;
        private final int length;
        private final int bufferBytes;
        private final LastByteEstimator estimator;
        private int sent; // written by the client
        private int arrived; // in the receiver's socket, or read
        private int received; // read
        private long lastByteNanos = -1;
        private long windowOpensNanos; // until then nothing arrives

        RandomTransfer(Random random) {
            this.random = random;
            length = 1 + random.nextInt(4 * MAX_UNREAD_BYTES);
            bufferBytes = 1 + random.nextInt(MAX_UNREAD_BYTES);
            estimator = new LastByteEstimator(random.nextBoolean() ? length : -1, 0);
        }

        void run(String message) {
            boolean paused = false;
            for (long now = STEP_NANOS; received < length; now += STEP_NANOS) {
                write(now);
                boolean pausing = random.nextInt(3) == 0;
                if (pausing && !paused) {
                    estimator.paused(now);
                }
                if (paused && !pausing) {
                    windowOpensNanos = now + (long) (random.nextDouble() * (WINDOW_OPENING_NANOS - STEP_NANOS));
                }
                paused = pausing;
                if (!paused) {
                    arrived = now >= windowOpensNanos ? sent : arrived;
                    read(now);
                }
                boolean knownToBeIncomplete = received == sent && received < length && !paused;
                if (lastByteNanos >= 0 && !knownToBeIncomplete) {
                    assertTrue(estimator.earliestNanos(now) <= lastByteNanos, message);
                }
            }
        }

        private void write(long now) {
            int most = Math.min(length, received + bufferBytes);
            sent = Math.min(most, sent + random.nextInt(MAX_UNREAD_BYTES));
            lastByteNanos = sent == length && lastByteNanos < 0 ? now : lastByteNanos;
        }

        private void read(long now) {
            if (arrived == received) {
                return;
            }
            estimator.readStarted(now);
            int count = Math.min(arrived - received, 1 + random.nextInt(bufferBytes));
            received += count;
            estimator.received(count, now);
            if (received == arrived && received < length) {
                estimator.drained(now);
            }
        }
    }
}
