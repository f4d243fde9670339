package loadbalancer.upstream;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * The time after a response in which a duplicate of it may still arrive. Were the connection in use again by then, the
 * duplicate would be taken for the response to the next request. A request that finds no settled connection waits for
 * one, as a new connection would take no less time.
 */
final class SettlePeriod {
    private static final long DURATION_MICROS = 10_000;
    private static final long READ_MILLIS = 1;

    private SettlePeriod() {}

    /** Returns how much of the period is left for a connection that has been idle since then, in microseconds. */
    static long remainingMicros(long idleSinceMicros, long nowMicros) {
        return Math.max(0, idleSinceMicros + DURATION_MICROS - nowMicros);
    }

    /**
     * Runs {@code task} when the period is over. The second step lets the loop read what has arrived meanwhile, also
     * where the loop itself was late.
     */
    static void whenOver(EventLoop loop, long remainingMicros, Runnable task) {
        loop.schedule(
                () -> loop.schedule(task, READ_MILLIS, TimeUnit.MILLISECONDS), remainingMicros, TimeUnit.MICROSECONDS);
    }
}
