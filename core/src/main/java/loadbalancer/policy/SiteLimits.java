package loadbalancer.policy;

/**
 * What the site allows a balancer to do.
 *
 * @param maxAttempts maximum number of attempts for one request
 * @param hedgingAllowed whether a request may have two attempts in flight
 * @param cancellationAllowed whether attempts may be cancelled
 * @param probingAllowed whether endpoints may be probed
 * @param connectTimeoutMicros time within which a connection must be established
 * @param maxRetryAfterMicros longest Retry-After advice that clients follow, 0 if they follow none
 */
public record SiteLimits(
        int maxAttempts,
        boolean hedgingAllowed,
        boolean cancellationAllowed,
        boolean probingAllowed,
        long connectTimeoutMicros,
        long maxRetryAfterMicros) {
    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of its range
     */
    public SiteLimits {
        Requirements.require(maxAttempts > 0, "maxAttempts", maxAttempts);
    }
}
