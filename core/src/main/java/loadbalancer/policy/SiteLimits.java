package loadbalancer.policy;

/** What the site allows. {@code retryAfterMax}: the longest that clients observe, or 0. */
public record SiteLimits(
        int maxAttempts,
        boolean mayDuplicate,
        boolean mayCancel,
        boolean mayProbe,
        long connectTimeout,
        long retryAfterMax) {
    public SiteLimits {
        Requirements.require(maxAttempts > 0, "maxAttempts", maxAttempts);
    }
}
