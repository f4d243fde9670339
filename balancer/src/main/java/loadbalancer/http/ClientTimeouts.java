package loadbalancer.http;

import java.util.concurrent.TimeUnit;
import loadbalancer.transport.BodyStream;

/**
 * The timeouts of one client connection. They protect against clients that send nothing or only a byte at times, and
 * against those that don't read their responses. A slow client has to get an error or a close within 3 s, and the
 * timeouts are checked every 200 ms. Used on the event loop's thread only.
 */
final class ClientTimeouts {
    private static final long RECEIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400); // for a complete request
    private static final long RECEIVE_NANOS_PER_BYTE = TimeUnit.SECONDS.toNanos(1) / 32_000; // in addition
    private static final long FIRST_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);
    private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(5_000); // between two requests
    private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000); // after the last response
    /** The most bytes that the sockets of both sides hold together. */
    private static final long MAX_SOCKET_BYTES = 8 << 20;
    /** A client reads from its own socket at this rate at least; half of what clients may be as slow as. */
    private static final long MIN_CLIENT_BYTES_PER_SECOND = 32_000;

    private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(20_000); // of a response, on either side
    /** A streamed response moves at this rate on average, after the first {@link #STALL_NANOS}. */
    private static final long MIN_RESPONSE_BYTES_PER_SECOND = 16_000;

    private long phaseStartNanos = System.nanoTime(); // a phase is receiving a request, idling or lingering
    private long lastReadNanos;
    private long receivedBytes; // of the request that is arriving
    private long writtenBytes; // to the socket, of streamed responses
    private long lastWriteNanos = phaseStartNanos; // or the last check at which nothing waited to be written

    void startPhase() {
        phaseStartNanos = System.nanoTime();
    }

    /** Called when the first byte of a request has arrived. */
    void startReceiving() {
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

    /** Returns whether receiving a request has taken too long, excluding the time for which it was paused. */
    boolean isReceiveOverdue(long nowNanos, long pausedNanos) {
        return phaseNanos(nowNanos) - pausedNanos > RECEIVE_NANOS + receivedBytes * RECEIVE_NANOS_PER_BYTE;
    }

    boolean isLingerOver(long nowNanos) {
        return phaseNanos(nowNanos) > LINGER_NANOS;
    }

    /** Returns whether a connection has been idle for too long; {@code idleNanos} is -1 if it is not idle. */
    boolean isIdleTooLong(long idleNanos, boolean hasRequested) {
        return idleNanos > (hasRequested ? IDLE_NANOS : FIRST_REQUEST_NANOS);
    }

    /**
     * Returns whether a streamed response has made no progress for too long, or takes too long as a whole. A client
     * that does not read keeps its upstream from being read, so this applies to both.
     */
    boolean isTooSlow(BodyStream response, long nowNanos) {
        long allowedNanos = TimeUnit.SECONDS.toNanos(response.receivedBytes()) / MIN_RESPONSE_BYTES_PER_SECOND;
        return response.stalledNanos(nowNanos) > STALL_NANOS
                || response.elapsedNanos(nowNanos) > STALL_NANOS + allowedNanos;
    }

    /** Called when a part of a response has been written to the socket, with {@code bytes} of a streamed body. */
    void onWritten(long nowNanos, int bytes) {
        lastWriteNanos = nowNanos;
        writtenBytes += bytes;
    }

    /**
     * Returns whether the client has taken nothing for too long; {@code waiting}: bytes wait to be written. A client
     * that reads slowly reads first what the sockets hold, and the balancer's socket may take nothing meanwhile.
     */
    boolean isWriteStalled(long nowNanos, boolean waiting) {
        if (!waiting) {
            lastWriteNanos = nowNanos;
        }
        long heldBytes = Math.min(writtenBytes, MAX_SOCKET_BYTES);
        long allowedNanos = TimeUnit.SECONDS.toNanos(heldBytes) / MIN_CLIENT_BYTES_PER_SECOND;
        return nowNanos - lastWriteNanos > STALL_NANOS + allowedNanos;
    }
}
