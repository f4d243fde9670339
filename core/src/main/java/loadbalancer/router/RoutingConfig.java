package loadbalancer.router;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.limits.ConcurrencyLimit;
import loadbalancer.limits.TokenTree.Rate;
import loadbalancer.routes.Route;

/**
 * All that a front goes by. Immutable; names are checked when it is made.
 *
 * @param unmatched the pool for requests that no route takes; null: they are answered "not found"
 * @param instances balancers that share the rates, this one included, 1 or more
 * @param reserve share of a limit that is kept for the requests worth most, from 0 to under 1
 * @param retryAfter bounds of the advice that goes with a refusal
 */
public record RoutingConfig(
        List<PoolPlan> pools,
        List<RoutePlan> routes,
        String unmatched,
        Quotas quotas,
        int instances,
        double reserve,
        Advice retryAfter) {

    /** Bounds of {@code Retry-After}, in µs; {@code most} 0: no advice is given. */
    public record Advice(long least, long most) {
        public Advice {
            if (least < 0 || most < least && most != 0) {
                throw new IllegalArgumentException("impossible advice: from " + least + " to " + most);
            }
        }
    }

    /** A pool; {@code limit} null: none. {@code fullStrength}: upstreams as a rule, or 0 to learn it. */
    public record PoolPlan(String name, ConcurrencyLimit.Plan limit, int fullStrength) {}

    /** Where traffic of a route spills over to, and the share of the route's traffic that may at the most. */
    public record Spill(String pool, double most) {}

    /** One part of a split: a pool, its weight, and where its traffic goes as its health falls. */
    public record Way(String pool, double weight, List<Spill> spills) {
        public Way {
            spills = List.copyOf(spills);
        }
    }

    /** Retry budget of a route: as {@link loadbalancer.limits.RetryBudget} has it. */
    public record Retries(double share, double leastPerSecond, long window, boolean countClients) {}

    /**
     * A route and what it does.
     *
     * @param spare as {@link loadbalancer.routes.Overflow} has it
     * @param returnPerSecond the same
     * @param retries null: no budget
     * @param rate the route's own limit for the whole site; null: none
     * @param deadline the longest that a request of this route may take, in µs; 0: as its client says
     */
    public record RoutePlan(
            Route match,
            List<Way> ways,
            double spare,
            double returnPerSecond,
            Retries retries,
            Rate rate,
            long deadline) {
        public RoutePlan {
            ways = List.copyOf(ways);
        }
    }

    /** A tenant's rate for the whole site, and rates of routes within it. */
    public record TenantQuota(Rate rate, Map<String, Rate> routes) {
        public TenantQuota {
            routes = Map.copyOf(routes);
        }
    }

    /**
     * Rates of the whole site.
     *
     * @param site of all together; null: there are no rates
     * @param others of all tenants together that are not named, the unknown among them; null: they go by the site's
     */
    public record Quotas(Rate site, Map<String, TenantQuota> tenants, Rate others) {
        public Quotas {
            tenants = Map.copyOf(tenants);
        }

        /** No rates at all. */
        public static Quotas none() {
            return new Quotas(null, Map.of(), null);
        }
    }

    public RoutingConfig {
        pools = List.copyOf(pools);
        routes = List.copyOf(routes);
        Set<String> names = new HashSet<>();
        for (PoolPlan p : pools) {
            if (!names.add(p.name)) {
                throw new IllegalArgumentException("two pools are called '" + p.name + "'");
            }
        }
        for (RoutePlan r : routes) {
            if (r.ways.isEmpty()) {
                throw new IllegalArgumentException("route '" + r.match.name() + "' leads to no pool");
            }
            for (Way w : r.ways) {
                require(names, w.pool, r.match.name());
                w.spills.forEach(s -> require(names, s.pool, r.match.name()));
            }
        }
        if (unmatched != null) {
            require(names, unmatched, "(unmatched)");
        }
        if (instances < 1 || !(reserve >= 0 && reserve < 1)) {
            throw new IllegalArgumentException("impossible front: " + instances + " instances, reserve " + reserve);
        }
    }

    private static void require(Set<String> names, String pool, String route) {
        if (!names.contains(pool)) {
            throw new IllegalArgumentException("route '" + route + "': no pool '" + pool + "'");
        }
    }
}
