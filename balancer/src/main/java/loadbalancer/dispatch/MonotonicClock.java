package loadbalancer.dispatch;

/**
 * A clock that never goes back. It returns microseconds since 1970, so that they can be compared with the start times
 * of upstreams.
 */
final class MonotonicClock {
    private final long unixAtStartMicros = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();

    long nowMicros() {
        return unixAtStartMicros + (System.nanoTime() - startNanos) / 1000;
    }
}
