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
            timeouts.onWritten(nowNanos);
            assertFalse(timeouts.isWriteStalled(nowNanos + 5 * SECOND_NANOS, true));
        }
        assertTrue(timeouts.isWriteStalled(nowNanos + 61 * SECOND_NANOS, true));
    }

    @Test
    void aClientIsStalledOnlyWhileBytesWait() {
        long nowNanos = System.nanoTime() + 1_000 * SECOND_NANOS;
        assertFalse(timeouts.isWriteStalled(nowNanos, false));
        assertFalse(timeouts.isWriteStalled(nowNanos + 15 * SECOND_NANOS, true));
        assertTrue(timeouts.isWriteStalled(nowNanos + 61 * SECOND_NANOS, true));
    }
}
