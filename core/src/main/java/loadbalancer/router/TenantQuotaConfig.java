package loadbalancer.router;

import java.util.Map;
import loadbalancer.limits.RateLimit;

/** A tenant's rate for the whole site, and its rates on single routes, by route name. */
public record TenantQuotaConfig(RateLimit rate, Map<String, RateLimit> routes) {
    /** Copies the map. */
    public TenantQuotaConfig {
        routes = Map.copyOf(routes);
    }
}
