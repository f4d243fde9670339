package loadbalancer.upstream;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * The delay after a response before its connection is reused. A duplicate of the response may still arrive in this
 * time, and would be taken for the response to the next request if the connection were in use again. A request that
 * finds only connections within their delay waits for one of them, as opening a new connection would take no less time.
 */
final class ReuseDelay {
    private static final long DURATION_MICROS = 10_000;
    private static final long READ_PENDING_MILLIS = 1;

    private ReuseDelay() {}

    /** Returns the rest of the delay in microseconds for a connection that is idle since {@code idleSinceMicros}. */
    static long remainingMicros(long idleSinceMicros, long nowMicros) {
        return Math.max(0, idleSinceMicros + DURATION_MICROS - nowMicros);
    }

    /**
     * Runs {@code task} when the delay is over. The second timer lets the event loop read data that has arrived in the
     * meantime, even if the event loop itself was late.
     */
    static void runAfter(EventLoop loop, long remainingMicros, Runnable task) {
        loop.schedule(
                () -> loop.schedule(task, READ_PENDING_MILLIS, TimeUnit.MILLISECONDS),
                remainingMicros,
                TimeUnit.MICROSECONDS);
    }
}
