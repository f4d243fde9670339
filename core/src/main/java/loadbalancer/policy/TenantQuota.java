package loadbalancer.policy;

/** A tenant: requests per second within its share, over all balancers. */
public record TenantQuota(double allowancePerSecond) {
    public TenantQuota {
        Requirements.require(allowancePerSecond >= 0, "allowancePerSecond", allowancePerSecond);
    }
}
