package loadbalancer.router;

import java.util.Map;
import loadbalancer.limits.RateLimit;

/**
 * Rates of the whole site.
 *
 * @param site rate of all requests together; null: there are no quotas
 * @param tenants by name
 * @param others rate of all tenants together that are not named, the unknown among them; null: the site's alone
 */
public record QuotaConfig(RateLimit site, Map<String, TenantQuotaConfig> tenants, RateLimit others) {
    /** Copies the map. */
    public QuotaConfig {
        tenants = Map.copyOf(tenants);
    }

    /** No quotas at all. */
    public static QuotaConfig none() {
        return new QuotaConfig(null, Map.of(), null);
    }
}
