package loadbalancer.limits;

/**
 * A rate of requests, as a token bucket has it.
 *
 * @param perSecond requests per second, 0 or more
 * @param burst requests that may come at the same moment, 1 or more
 * @param ceiling requests per second up to which a node of a {@link TokenBucketTree} may borrow, {@code perSecond} or
 *     more
 */
public record RateLimit(double perSecond, double burst, double ceiling) {
    /** Throws IllegalArgumentException for a rate that can't be. */
    public RateLimit {
        if (!(perSecond >= 0) || !(burst >= 1) || !(ceiling >= perSecond)) {
            throw new IllegalArgumentException(
                    "impossible rate: " + perSecond + " per second, burst " + burst + ", ceiling " + ceiling);
        }
    }

    /** One instance's part of the rate where so many instances share it equally. */
    public RateLimit dividedBy(int instances) {
        return new RateLimit(perSecond / instances, Math.max(1, burst / instances), ceiling / instances);
    }
}
