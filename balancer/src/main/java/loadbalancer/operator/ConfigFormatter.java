package loadbalancer.operator;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import loadbalancer.limits.ConcurrencyLimitConfig;
import loadbalancer.limits.LimitAlgorithm;
import loadbalancer.limits.RateLimit;
import loadbalancer.router.Destination;
import loadbalancer.router.RetryBudgetConfig;
import loadbalancer.router.RouteConfig;
import loadbalancer.routes.Route;
import loadbalancer.toml.Units;

/**
 * Formats the parts of an operator file for operators. Scripts may depend on these texts, so they are part of the
 * program's interface. Stateless.
 */
public final class ConfigFormatter {
    private static final String NONE = "none";

    private ConfigFormatter() {}

    /** Describes the conditions that a request must meet for a route. */
    public static String describe(Route route) {
        StringBuilder out = new StringBuilder();
        out.append(route.methods().isEmpty() ? "any method" : alternatives(route.methods()))
                .append(' ')
                .append(route.path());
        route.headers().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(header ->
                        out.append(", ").append(header.getKey()).append(": ").append(header.getValue()));
        if (!route.tenants().isEmpty()) {
            out.append(", tenant ").append(alternatives(route.tenants()));
        }
        if (!route.classes().isEmpty()) {
            out.append(", class ").append(alternatives(route.classes()));
        }
        return out.toString();
    }

    private static String alternatives(Set<String> names) {
        return names.stream().sorted().collect(Collectors.joining("|"));
    }

    /** Describes the pools of a route, with the fraction of requests that each gets. */
    public static String destinations(RouteConfig route) {
        Map<String, Double> fractions = fractions(route);
        return fractions.entrySet().stream()
                .map(entry -> fractions.size() == 1 && entry.getValue() > 0
                        ? entry.getKey()
                        : entry.getKey() + " " + percent(entry.getValue()))
                .collect(Collectors.joining(", "));
    }

    /** Describes the pools that a route's traffic spills over to; empty if there are none. */
    public static String spillTargets(RouteConfig route) {
        return route.destinations().stream()
                .flatMap(destination -> destination.spillTargets().stream())
                .distinct()
                .map(target -> target.pool() + " up to " + percent(target.maxShare()))
                .collect(Collectors.joining(", "));
    }

    /** Returns the fraction of a route's requests that each pool gets by its weight, by the pools' names. */
    static Map<String, Double> fractions(RouteConfig route) {
        double sum =
                route.destinations().stream().mapToDouble(Destination::weight).sum();
        Map<String, Double> fractions = new LinkedHashMap<>();
        route.destinations()
                .forEach(destination -> fractions.put(destination.pool(), sum <= 0 ? 0 : destination.weight() / sum));
        return fractions;
    }

    static String percent(double fraction) {
        double percent = fraction * 100;
        return percent == Math.rint(percent)
                ? Math.round(percent) + "%"
                : String.format(Locale.ROOT, "%.1f%%", percent);
    }

    /** Describes a rate with its burst and ceiling; null means that there is none. */
    public static String describe(RateLimit rate) {
        if (rate == null) {
            return NONE;
        }
        String ceiling =
                rate.ceiling() > rate.perSecond() ? ", borrowing up to " + Units.RATE.format(rate.ceiling()) : "";
        return Units.RATE.format(rate.perSecond()) + ", " + Math.round(rate.burst()) + " at once" + ceiling;
    }

    /** Describes a concurrency limit; null means that there is none. */
    public static String describe(ConcurrencyLimitConfig limit) {
        if (limit == null) {
            return NONE;
        }
        if (limit.algorithm() == LimitAlgorithm.FIXED) {
            return limit.initial() + " at once";
        }
        return limit.algorithm().name().toLowerCase(Locale.ROOT) + " from " + limit.initial() + ", " + limit.min()
                + " to " + limit.max();
    }

    /** Describes a retry budget; null means that there is none. */
    public static String describe(RetryBudgetConfig budget) {
        if (budget == null) {
            return NONE;
        }
        return percent(budget.ratio()) + " of first tries and " + Units.RATE.format(budget.minPerSecond())
                + (budget.countClientRetries() ? ", clients' own among them" : "");
    }

    /** Describes where a pool's endpoint list comes from. */
    static String source(PoolSpec pool) {
        if (pool.name().equals(PoolSpec.SITE)) {
            return "the platform's list";
        }
        if (pool.discovery() != null) {
            return "discovery at " + address(pool.discovery());
        }
        return pool.endpoints().stream()
                .map(ConfigFormatter::address)
                .collect(Collectors.joining(", ", "upstreams ", ""));
    }

    private static String address(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Describes the settings of a pool that differ from the platform's. */
    static String describe(PoolOverrides overrides) {
        return "Overrides[maxAttempts=" + overrides.maxAttempts() + ", connectTimeout="
                + overrides.connectTimeoutMicros() + ", idleClose=" + overrides.idleCloseMicros() + ", probes="
                + overrides.probes() + "]";
    }

    /** Describes how the log is written. */
    static String describe(LogSettings log) {
        return "[json=" + log.json() + ", queue=" + log.queueLines() + "]";
    }
}
