package loadbalancer.limits;

/**
 * A rate of requests, for a token bucket.
 *
 * @param perSecond requests per second, 0 or more
 * @param burst capacity of the bucket: requests that may arrive at the same moment, 1 or more
 * @param ceiling requests per second that a node of a {@link TokenBucketTree} may reach by borrowing, {@code perSecond}
 *     or more
 */
public record RateLimit(double perSecond, double burst, double ceiling) {
    /** Throws IllegalArgumentException if a value is out of range. */
    public RateLimit {
        if (!(perSecond >= 0) || !(burst >= 1) || !(ceiling >= perSecond)) {
            throw new IllegalArgumentException("perSecond is " + perSecond + " (expected 0 or more), burst is " + burst
                    + " (expected 1 or more), ceiling is " + ceiling + " (expected perSecond or more)");
        }
    }

    /** Returns the rate of one instance if {@code instances} share this rate equally. */
    public RateLimit dividedBy(int instances) {
        return new RateLimit(perSecond / instances, Math.max(1, burst / instances), ceiling / instances);
    }
}
