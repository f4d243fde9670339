package loadbalancer.dispatch;

/** Microseconds since 1970 that never go back, so that they compare with the start times of upstreams. */
final class MonotonicClock {
    private final long unixAtStartMicros = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();

    long nowMicros() {
        return unixAtStartMicros + (System.nanoTime() - startNanos) / 1000;
    }
}
