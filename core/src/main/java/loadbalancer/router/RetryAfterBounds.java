package loadbalancer.router;

/**
 * Bounds of the {@code Retry-After} advice that goes with a rejection.
 *
 * @param maxMicros 0: no advice is given
 */
public record RetryAfterBounds(long minMicros, long maxMicros) {
    /** Throws IllegalArgumentException for bounds out of order. */
    public RetryAfterBounds {
        if (minMicros < 0 || maxMicros < minMicros && maxMicros != 0) {
            throw new IllegalArgumentException("impossible advice: from " + minMicros + " to " + maxMicros);
        }
    }

    /**
     * The advice for a wait, in microseconds; 0 for none. It is spread at random, or all rejected clients would come
     * back at the same moment.
     *
     * @param waitMicros until a request may pass; {@link Long#MAX_VALUE} where never
     * @param random from 0 to under 1
     */
    long advice(long waitMicros, double random) {
        if (maxMicros == 0) {
            return 0;
        }
        long spreadMicros =
                waitMicros > maxMicros ? maxMicros : (long) (waitMicros + random * Math.max(minMicros, waitMicros));
        return Math.max(minMicros, Math.min(maxMicros, spreadMicros));
    }
}
