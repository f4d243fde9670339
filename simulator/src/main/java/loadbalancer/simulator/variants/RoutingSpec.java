package loadbalancer.simulator.variants;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.limits.ConcurrencyLimit;
import loadbalancer.limits.TokenTree.Rate;
import loadbalancer.policy.PolicySettings;
import loadbalancer.router.RoutingConfig;
import loadbalancer.routes.PathTemplate;
import loadbalancer.routes.Route;

/**
 * A front before the pools of a world, in figures that go with the world's size. Rates are multiples of the tenants'
 * allowances, limits are per upstream.
 *
 * @param tenantRate a tenant's own rate, as a multiple of its allowance; 0: no rates
 * @param tenantCeiling what it may borrow up to, as a multiple of the same
 * @param siteRate of all together, as a multiple of all allowances
 * @param reserve as {@link RoutingConfig} has it
 */
public record RoutingSpec(
        List<Pool> pools, List<Way> routes, double tenantRate, double tenantCeiling, double siteRate, double reserve) {

    /** A pool: its limit's kind (null: none) and, for each upstream, where the limit begins, its floor and its cap. */
    public record Pool(
            String name, ConcurrencyLimit.Kind limit, double start, double least, double most, int fullStrength) {}

    /**
     * A route by classes (none: all).
     *
     * @param steps in how many steps all weight moves from the first to the last of {@code to}; 0: never
     * @param stepsFrom when, in µs of the day, and for how long
     * @param retryShare of first tries; negative: no budget
     */
    public record Way(
            String name,
            Set<String> classes,
            List<String> to,
            List<Double> weights,
            List<String> spill,
            double spillMost,
            double spare,
            double returnPerSecond,
            double retryShare,
            boolean countClients,
            int steps,
            long stepsFrom,
            long stepsLength) {}

    /**
     * How a variant uses it.
     *
     * @param limit replaces the kinds of all limits; null: as they are
     * @param without parts left out: quotas, retries, limits, spill, steps
     * @param toldTimes what a balancer believes of the number of instances: this times the truth, and
     *     {@code toldMore} more
     */
    public record Use(
            RoutingSpec spec, ConcurrencyLimit.Kind limit, Set<String> without, double toldTimes, int toldMore) {}

    private static final long RETRY_WINDOW = 10_000_000;
    private static final long ADVICE_LEAST = 50_000;

    /** The plan for a balancer with those settings, where each pool has so many upstreams, at that time of the day. */
    RoutingConfig plan(
            Use use,
            PolicySettings settings,
            List<String> classes,
            List<String> tenants,
            Map<String, Integer> upstreams,
            long time) {
        int told = Math.max(1, (int) Math.round(settings.balancers() * use.toldTimes) + use.toldMore);
        List<RoutingConfig.PoolPlan> all = new ArrayList<>();
        for (Pool pool : pools) {
            double each = Math.max(1, upstreams.getOrDefault(pool.name, 1)) / (double) settings.balancers();
            ConcurrencyLimit.Kind kind = use.limit != null ? use.limit : pool.limit;
            int least = Math.max(1, (int) Math.round(pool.least * each));
            int start = Math.max(least, (int) Math.round(pool.start * each));
            ConcurrencyLimit.Plan limit = kind == null || use.without.contains("limits")
                    ? null
                    : new ConcurrencyLimit.Plan(
                            kind, start, least, Math.max(start, (int) Math.round(pool.most * each)));
            all.add(new RoutingConfig.PoolPlan(pool.name, limit, pool.fullStrength));
        }
        List<RoutingConfig.RoutePlan> ways = new ArrayList<>();
        for (int i = 0; i < routes.size(); i++) {
            ways.add(route(routes.get(i), use, i, time));
        }
        RoutingConfig.Quotas quotas = RoutingConfig.Quotas.none();
        if (tenantRate > 0 && !use.without.contains("quotas")) {
            Map<String, RoutingConfig.TenantQuota> own = new LinkedHashMap<>();
            double sum = 0;
            for (int i = 0; i < tenants.size(); i++) {
                double allowance = settings.tenants().get(i).allowancePerSecond();
                sum += allowance;
                own.put(
                        tenants.get(i),
                        new RoutingConfig.TenantQuota(
                                rate(allowance * tenantRate, allowance * tenantCeiling), Map.of()));
            }
            quotas = new RoutingConfig.Quotas(rate(sum * siteRate, sum * siteRate), own, null);
        }
        return new RoutingConfig(
                all,
                ways,
                null,
                quotas,
                told,
                reserve,
                new RoutingConfig.Advice(ADVICE_LEAST, settings.limits().maxRetryAfterMicros()));
    }

    // A second's tokens may be spent at once: quotas are counted over a second as well.
    private static Rate rate(double perSecond, double ceiling) {
        return new Rate(perSecond, Math.max(1, perSecond), Math.max(perSecond, ceiling));
    }

    private RoutingConfig.RoutePlan route(Way route, Use use, int place, long time) {
        double moved = route.steps == 0 || time < route.stepsFrom || use.without.contains("steps")
                ? 0
                : Math.min(
                        1,
                        Math.floor((time - route.stepsFrom) * (double) route.steps / route.stepsLength + 1)
                                / route.steps);
        List<RoutingConfig.Spill> spills = use.without.contains("spill")
                ? List.of()
                : route.spill.stream()
                        .map(s -> new RoutingConfig.Spill(s, route.spillMost))
                        .toList();
        List<RoutingConfig.Way> ways = new ArrayList<>();
        for (int i = 0; i < route.to.size(); i++) {
            double weight =
                    route.steps == 0 ? route.weights.get(i) : i == 0 ? 1 - moved : i == route.to.size() - 1 ? moved : 0;
            ways.add(new RoutingConfig.Way(route.to.get(i), weight, spills));
        }
        RoutingConfig.Retries retries = route.retryShare < 0 || use.without.contains("retries")
                ? null
                : new RoutingConfig.Retries(route.retryShare, 1, RETRY_WINDOW, route.countClients);
        return new RoutingConfig.RoutePlan(
                new Route(route.name, PathTemplate.of("/**"), Set.of(), Map.of(), Set.of(), route.classes, place),
                ways,
                route.spare,
                route.returnPerSecond,
                retries,
                null,
                0);
    }

    /** The steps that have been taken by that time of the day: the plan changes with them. */
    int step(long time) {
        int sum = 0;
        for (Way route : routes) {
            if (route.steps > 0 && time >= route.stepsFrom) {
                sum += (int) Math.min(
                        route.steps,
                        Math.floor((time - route.stepsFrom) * (double) route.steps / route.stepsLength + 1));
            }
        }
        return sum;
    }
}
