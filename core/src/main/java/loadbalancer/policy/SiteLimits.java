package loadbalancer.policy;

/**
 * What the site allows a balancer to do.
 *
 * @param maxAttempts attempts of one request
 * @param hedgingAllowed whether a request may have two attempts in flight
 * @param cancellationAllowed whether attempts may be cancelled
 * @param probingAllowed whether endpoints may be probed
 * @param connectTimeoutMicros time that a connection has to be made
 * @param maxRetryAfterMicros longest advice that clients observe, or 0
 */
public record SiteLimits(
        int maxAttempts,
        boolean hedgingAllowed,
        boolean cancellationAllowed,
        boolean probingAllowed,
        long connectTimeoutMicros,
        long maxRetryAfterMicros) {
    /**
     * Checks the figures.
     *
     * @throws IllegalArgumentException for figures that no site can have
     */
    public SiteLimits {
        Requirements.require(maxAttempts > 0, "maxAttempts", maxAttempts);
    }
}
