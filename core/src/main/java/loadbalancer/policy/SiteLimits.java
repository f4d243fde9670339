package loadbalancer.policy;

/** What the site allows. {@code maxRetryAfterMicros}: the longest that clients observe, or 0. */
public record SiteLimits(
        int maxAttempts,
        boolean hedgingAllowed,
        boolean cancellationAllowed,
        boolean probingAllowed,
        long connectTimeoutMicros,
        long maxRetryAfterMicros) {
    public SiteLimits {
        Requirements.require(maxAttempts > 0, "maxAttempts", maxAttempts);
    }
}
