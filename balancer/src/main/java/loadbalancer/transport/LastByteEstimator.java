package loadbalancer.transport;

/**
 * Estimates when the source of a body can have sent its last byte, at the earliest. The time of a request counts from
 * that moment, which a receiver can't see while it does not read: the rest of the body may lie in the buffers of the
 * sockets. Pure: the caller supplies the times, all from System.nanoTime().
 *
 * <p>The last byte had not been sent at a time if the socket was empty then, or if more bytes followed than the buffers
 * hold.
 */
final class LastByteEstimator {
    /** The most bytes that the sockets of both sides hold together. */
    static final long MAX_UNREAD_BYTES = 8 << 20;

    private final long lengthBytes;
    private long earliestNanos;
    private boolean drained = true; // the source is read, and its socket was empty after the last read
    private long receivedBytes;
    private long windowStartNanos;
    private long windowStartBytes;

    /** Creates an estimator; {@code lengthBytes} is -1 if the length of the body is not declared. */
    LastByteEstimator(long lengthBytes, long nowNanos) {
        this.lengthBytes = lengthBytes;
        earliestNanos = nowNanos;
        windowStartNanos = nowNanos;
    }

    /** Called when a read begins whose data has arrived at {@code arrivedNanos} at the earliest. */
    void readStarted(long arrivedNanos) {
        if (drained) {
            drained = false;
            raiseTo(arrivedNanos);
            windowStartNanos = arrivedNanos;
            windowStartBytes = receivedBytes;
        }
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
    void drained() {
        drained = true;
    }

    /** Called when the source is no longer read. */
    void paused(long nowNanos) {
        readStarted(nowNanos);
    }

    /** Returns the earliest time at which the last byte can have been sent. */
    long earliestNanos(long nowNanos) {
        return drained ? nowNanos : earliestNanos;
    }

    private void raiseTo(long nanos) {
        if (nanos - earliestNanos > 0) {
            earliestNanos = nanos;
        }
    }
}
