package loadbalancer.transport;

import java.util.concurrent.TimeUnit;

/**
 * Estimates when the source of a body can have sent its last byte, at the earliest. The time of a request counts from
 * that moment, which a receiver can't see while it does not read: the rest of the body may lie in the buffers of the
 * sockets. Pure: the caller supplies the times, all from System.nanoTime().
 *
 * <p>The last byte had not been sent at a time if the socket was empty then, or if more bytes followed than the buffers
 * hold. Once the source has not been read for a while, its window is closed and the rest waits in the sender's socket,
 * from where it comes a moment after the receiver's socket has been emptied. An empty socket then proves something only
 * if it stays empty for longer than that takes.
 */
final class LastByteEstimator {
    /** The most bytes that the sockets of both sides hold together. */
    static final long MAX_UNREAD_BYTES = 8 << 20;

    /** Longer than it takes until bytes that wait in the sender's socket arrive, once the window is open again. */
    static final long WINDOW_OPENING_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final long lengthBytes;
    private long earliestNanos;
    private boolean drained = true; // the source is read, and its socket was empty after the last read
    private long drainedAtNanos;
    private boolean windowWasClosed; // and the socket has not been empty for long enough since
    private long receivedBytes;
    private long windowStartNanos;
    private long windowStartBytes;

    /** Creates an estimator; {@code lengthBytes} is -1 if the length of the body is not declared. */
    LastByteEstimator(long lengthBytes, long nowNanos) {
        this.lengthBytes = lengthBytes;
        earliestNanos = nowNanos;
        drainedAtNanos = nowNanos;
        windowStartNanos = nowNanos;
    }

    /** Called when a read begins whose data has arrived at {@code arrivedNanos} at the earliest. */
    void readStarted(long arrivedNanos) {
        if (!drained) {
            return;
        }
        drained = false;
        if (wasEmptyUntil(arrivedNanos)) {
            long emptyUntilNanos = windowWasClosed ? arrivedNanos - WINDOW_OPENING_NANOS : arrivedNanos;
            raiseTo(emptyUntilNanos);
            windowStartNanos = emptyUntilNanos;
            windowStartBytes = receivedBytes;
            windowWasClosed = false;
        }
    }

    private boolean wasEmptyUntil(long nanos) {
        return !windowWasClosed || nanos - drainedAtNanos >= WINDOW_OPENING_NANOS;
    }

    /** Called when {@code bytes} of the body have been read. */
    void received(int bytes, long nowNanos) {
        receivedBytes += bytes;
        if (lengthBytes - receivedBytes > MAX_UNREAD_BYTES) {
            raiseTo(nowNanos);
        } else if (receivedBytes - windowStartBytes > MAX_UNREAD_BYTES) {
            raiseTo(windowStartNanos);
            windowStartNanos = nowNanos;
            windowStartBytes = receivedBytes;
        }
    }

    /** Returns how many bytes of the body have been read. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Called when a read has left the socket empty while the body was incomplete. */
    void drained(long nowNanos) {
        drained = true;
        drainedAtNanos = nowNanos;
    }

    /** Called when the source is no longer read. */
    void paused(long nowNanos) {
        readStarted(nowNanos);
        windowWasClosed = true;
    }

    /** Returns the earliest time at which the last byte can have been sent. */
    long earliestNanos(long nowNanos) {
        if (!drained || !wasEmptyUntil(nowNanos)) {
            return earliestNanos;
        }
        return windowWasClosed ? Math.max(earliestNanos, nowNanos - WINDOW_OPENING_NANOS) : nowNanos;
    }

    private void raiseTo(long nanos) {
        if (nanos - earliestNanos > 0) {
            earliestNanos = nanos;
        }
    }
}
