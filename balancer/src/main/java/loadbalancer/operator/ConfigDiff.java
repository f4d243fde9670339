package loadbalancer.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.limits.RateLimit;
import loadbalancer.router.PoolConfig;
import loadbalancer.router.QuotaConfig;
import loadbalancer.router.RouteConfig;
import loadbalancer.router.RoutingConfig;
import loadbalancer.router.TenantQuotaConfig;
import loadbalancer.toml.Units;

/** Describes what changes in service when one operator file replaces another. */
public final class ConfigDiff {
    private final List<String> changes = new ArrayList<>();

    private ConfigDiff() {}

    /** Returns a line for each change in service when {@code next} replaces {@code former}. */
    public static List<String> between(OperatorConfig former, OperatorConfig next) {
        ConfigDiff diff = new ConfigDiff();
        diff.pools(former, next);
        diff.routes(former.routing(), next.routing());
        diff.compare("requests that no route takes", unmatched(former.routing()), unmatched(next.routing()));
        diff.quotas(former.routing().quotas(), next.routing().quotas());
        diff.limits(former.routing(), next.routing());
        diff.compare("log", ConfigFormatter.describe(former.log()), ConfigFormatter.describe(next.log()));
        return diff.changes;
    }

    private void compare(String subject, String former, String next) {
        if (!Objects.equals(former, next)) {
            changes.add(subject + ": " + former + " -> " + next);
        }
    }

    private static String unmatched(RoutingConfig routing) {
        return routing.unmatchedPool() == null ? "refused" : "go to " + routing.unmatchedPool();
    }

    private void limits(RoutingConfig former, RoutingConfig next) {
        compare("number of instances", String.valueOf(former.instances()), String.valueOf(next.instances()));
        compare(
                "part of limits kept for what is worth most",
                ConfigFormatter.percent(former.reservedFraction()),
                ConfigFormatter.percent(next.reservedFraction()));
        compare("advice to refused clients", retryAfter(former), retryAfter(next));
    }

    private static String retryAfter(RoutingConfig routing) {
        return Units.TIME.format(routing.retryAfter().minMicros()) + " to "
                + Units.TIME.format(routing.retryAfter().maxMicros());
    }

    private void pools(OperatorConfig former, OperatorConfig next) {
        Map<String, PoolConfig> formerPools = new LinkedHashMap<>();
        former.routing().pools().forEach(pool -> formerPools.put(pool.name(), pool));
        for (PoolConfig pool : next.routing().pools()) {
            PoolConfig formerPool = formerPools.remove(pool.name());
            PoolSpec spec = next.pool(pool.name());
            if (formerPool == null) {
                changes.add("pool " + pool.name() + ": new, " + ConfigFormatter.source(spec) + ", limit "
                        + ConfigFormatter.describe(pool.limit()));
            } else {
                pool(formerPool, pool, former.pool(pool.name()), spec);
            }
        }
        formerPools.keySet().forEach(name -> changes.add("pool " + name + ": dropped; it drains first"));
    }

    private void pool(PoolConfig former, PoolConfig next, PoolSpec formerSpec, PoolSpec nextSpec) {
        String subject = "pool " + next.name();
        boolean replaced = (nextSpec.discovery() == null) != (formerSpec.discovery() == null);
        compare(
                subject + (replaced ? ", which drains and begins anew" : ""),
                ConfigFormatter.source(formerSpec),
                ConfigFormatter.source(nextSpec));
        compare(subject + ": limit", ConfigFormatter.describe(former.limit()), ConfigFormatter.describe(next.limit()));
        compare(subject + ": full strength", fullStrength(former), fullStrength(next));
        compare(
                subject + ": connections",
                equalPartOr(formerSpec.maxConnections()),
                equalPartOr(nextSpec.maxConnections()));
        compare(subject + ": memory", equalPartOr(formerSpec.maxBodyBytes()), equalPartOr(nextSpec.maxBodyBytes()));
        compare(
                subject + ": settings",
                ConfigFormatter.describe(formerSpec.overrides()),
                ConfigFormatter.describe(nextSpec.overrides()));
    }

    private static String fullStrength(PoolConfig pool) {
        return pool.fullStrength() == 0 ? "learnt" : String.valueOf(pool.fullStrength());
    }

    private static String equalPartOr(long value) {
        return value == 0 ? "its part" : String.valueOf(value);
    }

    private void routes(RoutingConfig former, RoutingConfig next) {
        Map<String, RouteConfig> formerRoutes = new LinkedHashMap<>();
        former.routes().forEach(route -> formerRoutes.put(route.route().name(), route));
        for (RouteConfig route : next.routes()) {
            String name = route.route().name();
            RouteConfig formerRoute = formerRoutes.remove(name);
            if (formerRoute == null) {
                changes.add("route " + name + ": new, " + ConfigFormatter.describe(route.route()) + " to "
                        + ConfigFormatter.destinations(route));
            } else {
                route("route " + name, formerRoute, route);
            }
        }
        formerRoutes
                .values()
                .forEach(route -> changes.add("route " + route.route().name() + ": dropped, "
                        + ConfigFormatter.describe(route.route()) + " goes to the next that fits"));
    }

    private void route(String subject, RouteConfig former, RouteConfig next) {
        compare(subject + " takes", ConfigFormatter.describe(former.route()), ConfigFormatter.describe(next.route()));
        destinations(subject, former, next);
        compare(subject + " spills to", spillTargets(former), spillTargets(next));
        compare(
                subject + ": retries",
                ConfigFormatter.describe(former.retryBudget()),
                ConfigFormatter.describe(next.retryBudget()));
        compare(subject + ": rate", ConfigFormatter.describe(former.rate()), ConfigFormatter.describe(next.rate()));
        compare(subject + ": deadline", deadline(former), deadline(next));
        compare(
                subject + ": spare",
                ConfigFormatter.percent(former.overprovisioningFactor()),
                ConfigFormatter.percent(next.overprovisioningFactor()));
        compare(
                subject + ": return",
                ConfigFormatter.percent(former.returnPerSecond()) + "/s",
                ConfigFormatter.percent(next.returnPerSecond()) + "/s");
    }

    private void destinations(String subject, RouteConfig former, RouteConfig next) {
        Map<String, Double> formerFractions = ConfigFormatter.fractions(former);
        Map<String, Double> nextFractions = ConfigFormatter.fractions(next);
        if (!formerFractions.equals(nextFractions)) {
            changes.add(subject + ": " + ConfigFormatter.destinations(former) + " -> "
                    + ConfigFormatter.destinations(next) + "; "
                    + ConfigFormatter.percent(movedFraction(formerFractions, nextFractions)) + " of its keys move");
        }
    }

    // With rendezvous hashing, exactly the fractions that the shrinking pools lose move.
    private static double movedFraction(Map<String, Double> former, Map<String, Double> next) {
        double lost = 0;
        for (Map.Entry<String, Double> pool : former.entrySet()) {
            lost += Math.max(0, pool.getValue() - next.getOrDefault(pool.getKey(), 0.0));
        }
        return lost;
    }

    private static String spillTargets(RouteConfig route) {
        String targets = ConfigFormatter.spillTargets(route);
        return targets.isEmpty() ? "nowhere" : targets;
    }

    private static String deadline(RouteConfig route) {
        return route.deadlineMicros() == 0 ? "the client's" : Units.TIME.format(route.deadlineMicros());
    }

    private void quotas(QuotaConfig former, QuotaConfig next) {
        compare("quota of the site", ConfigFormatter.describe(former.site()), ConfigFormatter.describe(next.site()));
        compare(
                "quota of all others",
                ConfigFormatter.describe(former.others()),
                ConfigFormatter.describe(next.others()));
        Set<String> tenants = new TreeSet<>(former.tenants().keySet());
        tenants.addAll(next.tenants().keySet());
        for (String tenant : tenants) {
            tenantQuota(tenant, former.tenants().get(tenant), next.tenants().get(tenant));
        }
    }

    private void tenantQuota(String tenant, TenantQuotaConfig former, TenantQuotaConfig next) {
        String subject = "quota of tenant " + tenant;
        compare(subject, rate(former), rate(next));
        Set<String> routes = new TreeSet<>(routeRates(former).keySet());
        routes.addAll(routeRates(next).keySet());
        for (String route : routes) {
            compare(
                    subject + " on route " + route,
                    ConfigFormatter.describe(routeRates(former).get(route)),
                    ConfigFormatter.describe(routeRates(next).get(route)));
        }
    }

    private static String rate(TenantQuotaConfig quota) {
        return quota == null ? "as all others" : ConfigFormatter.describe(quota.rate());
    }

    private static Map<String, RateLimit> routeRates(TenantQuotaConfig quota) {
        return quota == null ? Map.of() : quota.routes();
    }
}
