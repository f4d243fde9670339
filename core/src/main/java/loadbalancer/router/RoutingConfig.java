package loadbalancer.router;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * All that a {@link RequestRouter} goes by. Immutable.
 *
 * @param unmatchedPool the pool for requests that no route takes; null: they are answered "not found"
 * @param instances balancers that share the rates, this one included, 1 or more
 * @param reservedFraction of a limit that is kept for the requests of the highest priority, from 0 to under 1
 * @param retryAfter bounds of the advice that goes with a rejection
 */
public record RoutingConfig(
        List<PoolConfig> pools,
        List<RouteConfig> routes,
        String unmatchedPool,
        QuotaConfig quotas,
        int instances,
        double reservedFraction,
        RetryAfterBounds retryAfter) {
    /** Throws IllegalArgumentException for a pool that is named and missing, or named twice, and for odd numbers. */
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
            throw new IllegalArgumentException(
                    "impossible front: " + instances + " instances, reserve " + reservedFraction);
        }
    }

    private static Set<String> poolNames(List<PoolConfig> pools) {
        Set<String> names = new HashSet<>();
        for (PoolConfig pool : pools) {
            if (!names.add(pool.name())) {
                throw new IllegalArgumentException("two pools are called '" + pool.name() + "'");
            }
        }
        return names;
    }

    private static void requirePools(Set<String> poolNames, RouteConfig config) {
        String route = config.route().name();
        if (config.destinations().isEmpty()) {
            throw new IllegalArgumentException("route '" + route + "' leads to no pool");
        }
        for (Destination destination : config.destinations()) {
            requirePool(poolNames, destination.pool(), route);
            destination.spillTargets().forEach(target -> requirePool(poolNames, target.pool(), route));
        }
    }

    private static void requirePool(Set<String> poolNames, String pool, String route) {
        if (!poolNames.contains(pool)) {
            throw new IllegalArgumentException("route '" + route + "': no pool '" + pool + "'");
        }
    }
}
