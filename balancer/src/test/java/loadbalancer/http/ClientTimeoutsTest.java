package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ClientTimeoutsTest {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ClientTimeouts timeouts = new ClientTimeouts();

    /** As many bytes may wait at each check while a slow client reads on: it was taken for one that does not read. */
    @Test
    void aClientThatReadsOnIsNotStalled() {
        long nowNanos = System.nanoTime();
        for (int i = 0; i < 100; i++) {
            nowNanos += 15 * SECOND_NANOS;
            timeouts.onWritten(nowNanos, 0);
            assertFalse(timeouts.isWriteStalled(nowNanos + 5 * SECOND_NANOS, true));
        }
        assertTrue(timeouts.isWriteStalled(nowNanos + 61 * SECOND_NANOS, true));
    }

    /** Guards against a slow reader that is cut off while it reads what the sockets hold. */
    @Test
    void aClientMayReadWhatTheSocketsHoldBeforeItCountsAsStalled() {
        long nowNanos = System.nanoTime();
        timeouts.onWritten(nowNanos, 3_200_000);
        assertFalse(timeouts.isWriteStalled(nowNanos + 119 * SECOND_NANOS, true));
        assertTrue(timeouts.isWriteStalled(nowNanos + 121 * SECOND_NANOS, true));
        timeouts.onWritten(nowNanos, 1 << 30);
        assertTrue(timeouts.isWriteStalled(nowNanos + 300 * SECOND_NANOS, true), "more than the sockets hold");
    }

    @Test
    void aClientIsStalledOnlyWhileBytesWait() {
        long nowNanos = System.nanoTime() + 1_000 * SECOND_NANOS;
        assertFalse(timeouts.isWriteStalled(nowNanos, false));
        assertFalse(timeouts.isWriteStalled(nowNanos + 15 * SECOND_NANOS, true));
        assertTrue(timeouts.isWriteStalled(nowNanos + 61 * SECOND_NANOS, true));
    }
}
