package loadbalancer.policy;

/**
 * A tenant.
 *
 * @param allowancePerSecond requests per second within its quota, over all balancers
 */
public record TenantQuota(double allowancePerSecond) {
    /**
     * Checks the figure.
     *
     * @throws IllegalArgumentException for a negative allowance
     */
    public TenantQuota {
        Requirements.require(allowancePerSecond >= 0, "allowancePerSecond", allowancePerSecond);
    }
}
