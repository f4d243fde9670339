package loadbalancer.http;

import java.util.concurrent.TimeUnit;

/**
 * The clocks of one client connection and the time-outs that run on them. Against peers that send nothing, or a byte
 * now and then, and against those that don't read. A client is owed an error or a close within 3 s, and the
 * connections are checked every 200 ms. Belongs to the event loop's thread.
 */
final class ClientTimeouts {
    private static final long RECEIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400); // of a whole request
    private static final long RECEIVE_NANOS_PER_BYTE = TimeUnit.SECONDS.toNanos(1) / 32_000; // in addition
    private static final long FIRST_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);
    private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(5_000); // between two requests
    private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000); // after the last response
    private static final long WRITE_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(20_000);

    private long phaseStartNanos = System.nanoTime(); // of the receipt, the idle time or the linger
    private long lastReadNanos;
    private long receivedBytes; // of the request that is arriving
    private long stalledBytes; // that wait for the client to read
    private long stalledSinceNanos = phaseStartNanos;

    void startPhase() {
        phaseStartNanos = System.nanoTime();
    }

    /** A request begins to arrive. */
    void startReceipt() {
        receivedBytes = 0;
        startPhase();
    }

    void onRead(int bytes) {
        lastReadNanos = System.nanoTime();
        receivedBytes += bytes;
    }

    long phaseNanos(long nowNanos) {
        return nowNanos - phaseStartNanos;
    }

    long sinceLastReadNanos(long nowNanos) {
        return nowNanos - lastReadNanos;
    }

    /** Returns whether the receipt has taken too long, not counting the time that it was paused for. */
    boolean isReceiptOverdue(long nowNanos, long pausedNanos) {
        return phaseNanos(nowNanos) - pausedNanos > RECEIVE_NANOS + receivedBytes * RECEIVE_NANOS_PER_BYTE;
    }

    boolean isLingerOver(long nowNanos) {
        return phaseNanos(nowNanos) > LINGER_NANOS;
    }

    /** Returns whether a connection has been idle for too long; {@code idleNanos} is -1 where it isn't. */
    boolean isIdleTooLong(long idleNanos, boolean hasRequested) {
        return idleNanos > (hasRequested ? IDLE_NANOS : FIRST_REQUEST_NANOS);
    }

    /** Returns whether a streamed response has stood still for too long. */
    boolean isStalledTooLong(long stalledNanos) {
        return stalledNanos > WRITE_STALL_NANOS;
    }

    /** Takes how many bytes wait to leave, and returns whether their number has not changed for too long. */
    boolean isWriteStalled(long nowNanos, long waitingBytes) {
        if (waitingBytes == 0 || waitingBytes != stalledBytes) {
            stalledBytes = waitingBytes;
            stalledSinceNanos = nowNanos;
            return false;
        }
        return nowNanos - stalledSinceNanos > WRITE_STALL_NANOS;
    }
}
