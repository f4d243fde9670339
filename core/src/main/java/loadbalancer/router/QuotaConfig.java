package loadbalancer.router;

import java.util.Map;
import loadbalancer.limits.RateLimit;

/**
 * Request rates allowed for the whole site.
 *
 * @param site rate of all requests together; null if there are no quotas
 * @param tenants quotas of the named tenants, by name
 * @param others rate that all other tenants share, unknown ones included; null if only the site's rate applies
 */
public record QuotaConfig(RateLimit site, Map<String, TenantQuotaConfig> tenants, RateLimit others) {
    /** Copies the map. */
    public QuotaConfig {
        tenants = Map.copyOf(tenants);
    }

    /** Returns a configuration without quotas. */
    public static QuotaConfig none() {
        return new QuotaConfig(null, Map.of(), null);
    }
}
