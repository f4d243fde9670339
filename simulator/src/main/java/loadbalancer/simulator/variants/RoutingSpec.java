package loadbalancer.simulator.variants;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.limits.ConcurrencyLimitConfig;
import loadbalancer.limits.LimitAlgorithm;
import loadbalancer.limits.RateLimit;
import loadbalancer.policy.PolicySettings;
import loadbalancer.router.Destination;
import loadbalancer.router.PoolConfig;
import loadbalancer.router.QuotaConfig;
import loadbalancer.router.RetryAfterBounds;
import loadbalancer.router.RetryBudgetConfig;
import loadbalancer.router.RouteConfig;
import loadbalancer.router.RoutingConfig;
import loadbalancer.router.SpillTarget;
import loadbalancer.router.TenantQuotaConfig;
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
    public record Pool(String name, LimitAlgorithm limit, double start, double least, double most, int fullStrength) {}

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
    public record Use(RoutingSpec spec, LimitAlgorithm limit, Set<String> without, double toldTimes, int toldMore) {}

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
        List<PoolConfig> all = new ArrayList<>();
        for (Pool p : pools) {
            double each = Math.max(1, upstreams.getOrDefault(p.name, 1)) / (double) settings.balancers();
            LimitAlgorithm kind = use.limit != null ? use.limit : p.limit;
            int least = Math.max(1, (int) Math.round(p.least * each));
            int start = Math.max(least, (int) Math.round(p.start * each));
            ConcurrencyLimitConfig limit = kind == null || use.without.contains("limits")
                    ? null
                    : new ConcurrencyLimitConfig(kind, start, least, Math.max(start, (int) Math.round(p.most * each)));
            all.add(new PoolConfig(p.name, limit, p.fullStrength));
        }
        List<RouteConfig> ways = new ArrayList<>();
        for (int i = 0; i < routes.size(); i++) {
            ways.add(route(routes.get(i), use, i, time));
        }
        QuotaConfig quotas = QuotaConfig.none();
        if (tenantRate > 0 && !use.without.contains("quotas")) {
            Map<String, TenantQuotaConfig> own = new LinkedHashMap<>();
            double sum = 0;
            for (int i = 0; i < tenants.size(); i++) {
                double allowance = settings.tenants().get(i).allowancePerSecond();
                sum += allowance;
                own.put(
                        tenants.get(i),
                        new TenantQuotaConfig(rate(allowance * tenantRate, allowance * tenantCeiling), Map.of()));
            }
            quotas = new QuotaConfig(rate(sum * siteRate, sum * siteRate), own, null);
        }
        return new RoutingConfig(
                all,
                ways,
                null,
                quotas,
                told,
                reserve,
                new RetryAfterBounds(ADVICE_LEAST, settings.limits().maxRetryAfterMicros()));
    }

    // A second's tokens may be spent at once: quotas are counted over a second as well.
    private static RateLimit rate(double perSecond, double ceiling) {
        return new RateLimit(perSecond, Math.max(1, perSecond), Math.max(perSecond, ceiling));
    }

    private RouteConfig route(Way way, Use use, int place, long time) {
        double moved = way.steps == 0 || time < way.stepsFrom || use.without.contains("steps")
                ? 0
                : Math.min(
                        1, Math.floor((time - way.stepsFrom) * (double) way.steps / way.stepsLength + 1) / way.steps);
        List<SpillTarget> spills = use.without.contains("spill")
                ? List.of()
                : way.spill.stream().map(s -> new SpillTarget(s, way.spillMost)).toList();
        List<Destination> ways = new ArrayList<>();
        for (int i = 0; i < way.to.size(); i++) {
            double weight =
                    way.steps == 0 ? way.weights.get(i) : i == 0 ? 1 - moved : i == way.to.size() - 1 ? moved : 0;
            ways.add(new Destination(way.to.get(i), weight, spills));
        }
        RetryBudgetConfig retries = way.retryShare < 0 || use.without.contains("retries")
                ? null
                : new RetryBudgetConfig(way.retryShare, 1, RETRY_WINDOW, way.countClients);
        return new RouteConfig(
                new Route(way.name, PathTemplate.of("/**"), Set.of(), Map.of(), Set.of(), way.classes, place),
                ways,
                way.spare,
                way.returnPerSecond,
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
