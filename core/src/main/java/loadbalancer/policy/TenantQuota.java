package loadbalancer.policy;

/**
 * Quota of a tenant.
 *
 * @param allowancePerSecond requests per second within the quota, over all balancers
 */
public record TenantQuota(double allowancePerSecond) {
    /**
     * Checks the allowance.
     *
     * @throws IllegalArgumentException if the allowance is negative
     */
    public TenantQuota {
        Requirements.require(allowancePerSecond >= 0, "allowancePerSecond", allowancePerSecond);
    }
}
