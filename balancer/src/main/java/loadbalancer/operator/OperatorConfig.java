package loadbalancer.operator;

import java.util.List;
import loadbalancer.router.RoutingConfig;

/**
 * All that an operator file sets.
 *
 * @param instances null where the file leaves it to the platform
 * @param notes what is possible but hardly meant, with file and line
 */
public record OperatorConfig(
        RoutingConfig front, List<PoolSpec> pools, Integer instances, LogPlan log, List<String> notes) {
    public OperatorConfig {
        pools = List.copyOf(pools);
        notes = List.copyOf(notes);
    }

    /** How logs are written; {@code queue}: lines that may wait before some are dropped. */
    public record LogPlan(boolean json, int queue) {}

    /** What the platform's own configuration says, as far as the file must fit it. */
    public record Site(List<String> classes, List<String> tenants, int instances, long retryAfterMost) {
        /** Where the platform's configuration isn't at hand: names can't be checked. */
        public static Site unknown() {
            return new Site(null, null, 1, 0);
        }
    }

    /** The pool of that name; null where there is none. */
    public PoolSpec pool(String name) {
        return pools.stream().filter(p -> p.name().equals(name)).findFirst().orElse(null);
    }
}
