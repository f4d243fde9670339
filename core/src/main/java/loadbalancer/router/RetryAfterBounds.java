package loadbalancer.router;

/**
 * Bounds of the {@code Retry-After} time that is sent with a rejection.
 *
 * @param maxMicros 0 to send no {@code Retry-After}
 */
public record RetryAfterBounds(long minMicros, long maxMicros) {
    /** Throws IllegalArgumentException if a bound is negative, or the upper one is below the lower one and not 0. */
    public RetryAfterBounds {
        if (minMicros < 0 || maxMicros < minMicros && maxMicros != 0) {
            throw new IllegalArgumentException("Retry-After bounds are minMicros " + minMicros + ", maxMicros "
                    + maxMicros + ": expected 0 or more, and maxMicros either 0 or at least minMicros");
        }
    }

    /**
     * Returns the {@code Retry-After} time in microseconds; 0 for none. It is randomized, because otherwise all
     * rejected clients would come back at the same moment.
     *
     * @param waitMicros time until a request may pass; {@link Long#MAX_VALUE} for never
     * @param random from 0 to under 1
     */
    long retryAfterMicros(long waitMicros, double random) {
        if (maxMicros == 0) {
            return 0;
        }
        long randomizedMicros =
                waitMicros > maxMicros ? maxMicros : (long) (waitMicros + random * Math.max(minMicros, waitMicros));
        return Math.max(minMicros, Math.min(maxMicros, randomizedMicros));
    }
}
