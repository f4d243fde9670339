package loadbalancer.operator;

import java.util.List;
import loadbalancer.router.RoutingConfig;

/**
 * The contents of an operator file. Immutable.
 *
 * @param routing the configuration of the router
 * @param pools the pools in the order of the file, including the site's pool
 * @param instances the number of balancers that share the rates; null if the file leaves it to the platform
 * @param notes warnings about values that are valid but probably not intended, each with file and line
 */
public record OperatorConfig(
        RoutingConfig routing, List<PoolSpec> pools, Integer instances, LogSettings log, List<String> notes) {
    /** Copies the lists. */
    public OperatorConfig {
        pools = List.copyOf(pools);
        notes = List.copyOf(notes);
    }

    /** Returns the pool of that name; null if there is none. */
    public PoolSpec pool(String name) {
        return pools.stream()
                .filter(pool -> pool.name().equals(name))
                .findFirst()
                .orElse(null);
    }
}
