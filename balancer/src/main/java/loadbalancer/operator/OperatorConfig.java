package loadbalancer.operator;

import java.util.List;
import loadbalancer.router.RoutingConfig;

/**
 * All that an operator file sets. Immutable.
 *
 * @param routing what the router goes by
 * @param pools in the order of the file, the site's pool among them
 * @param instances null where the file leaves it to the platform
 * @param notes what is possible but hardly intended, each with file and line
 */
public record OperatorConfig(
        RoutingConfig routing, List<PoolSpec> pools, Integer instances, LogSettings log, List<String> notes) {
    /** Copies the lists. */
    public OperatorConfig {
        pools = List.copyOf(pools);
        notes = List.copyOf(notes);
    }

    /** The pool of that name; null where there is none. */
    public PoolSpec pool(String name) {
        return pools.stream()
                .filter(pool -> pool.name().equals(name))
                .findFirst()
                .orElse(null);
    }
}
