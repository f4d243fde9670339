package loadbalancer.router;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Configuration of a {@link RequestRouter}. Immutable.
 *
 * @param unmatchedPool pool for requests that no route matches; null to answer them with "not found"
 * @param instances number of balancers that share the rates, this one included; 1 or more
 * @param reservedFraction fraction of each limit that is reserved for requests of the highest priority, from 0 to under
 *     1
 * @param retryAfter bounds of the {@code Retry-After} time that is sent with a rejection
 */
public record RoutingConfig(
        List<PoolConfig> pools,
        List<RouteConfig> routes,
        String unmatchedPool,
        QuotaConfig quotas,
        int instances,
        double reservedFraction,
        RetryAfterBounds retryAfter) {
    /** Throws IllegalArgumentException for a duplicate or unknown pool name and for a number out of range. */
    public RoutingConfig {
        pools = List.copyOf(pools);
        routes = List.copyOf(routes);
        Set<String> poolNames = poolNames(pools);
        for (RouteConfig route : routes) {
            requirePools(poolNames, route);
        }
        if (unmatchedPool != null) {
            requirePool(poolNames, unmatchedPool, "(unmatched)");
        }
        if (instances < 1 || !(reservedFraction >= 0 && reservedFraction < 1)) {
            throw new IllegalArgumentException("instances is " + instances
                    + " (expected 1 or more), reservedFraction is " + reservedFraction
                    + " (expected from 0 to under 1)");
        }
    }

    private static Set<String> poolNames(List<PoolConfig> pools) {
        Set<String> names = new HashSet<>();
        for (PoolConfig pool : pools) {
            if (!names.add(pool.name())) {
                throw new IllegalArgumentException("duplicate pool name '" + pool.name() + "'");
            }
        }
        return names;
    }

    private static void requirePools(Set<String> poolNames, RouteConfig config) {
        String route = config.route().name();
        if (config.destinations().isEmpty()) {
            throw new IllegalArgumentException("route '" + route + "' has no destination");
        }
        for (Destination destination : config.destinations()) {
            requirePool(poolNames, destination.pool(), route);
            destination.spillTargets().forEach(target -> requirePool(poolNames, target.pool(), route));
        }
    }

    private static void requirePool(Set<String> poolNames, String pool, String route) {
        if (!poolNames.contains(pool)) {
            throw new IllegalArgumentException("route '" + route + "': unknown pool '" + pool + "'");
        }
    }
}
