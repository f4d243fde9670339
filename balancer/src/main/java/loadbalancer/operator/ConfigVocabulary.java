package loadbalancer.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.stream.Collectors;
import loadbalancer.limits.ConcurrencyLimitConfig;
import loadbalancer.limits.LimitAlgorithm;
import loadbalancer.limits.RateLimit;
import loadbalancer.router.Destination;
import loadbalancer.router.PoolConfig;
import loadbalancer.router.QuotaConfig;
import loadbalancer.router.RetryBudgetConfig;
import loadbalancer.router.RouteConfig;
import loadbalancer.router.RoutingConfig;
import loadbalancer.router.TenantQuotaConfig;
import loadbalancer.routes.Route;
import loadbalancer.toml.Units;

/** Says in words what an operator file sets, and what another one would change in service. */
public final class ConfigVocabulary {
    private static final String NO_ROUTE = "requests that no route takes";

    private ConfigVocabulary() {}

    /** What a request must be like to take that route. */
    public static String of(Route r) {
        StringBuilder out = new StringBuilder();
        out.append(
                        r.methods().isEmpty()
                                ? "any method"
                                : r.methods().stream().sorted().collect(Collectors.joining("|")))
                .append(' ')
                .append(r.path());
        r.headers().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(h -> out.append(", ").append(h.getKey()).append(": ").append(h.getValue()));
        if (!r.tenants().isEmpty()) {
            out.append(", tenant ").append(r.tenants().stream().sorted().collect(Collectors.joining("|")));
        }
        if (!r.classes().isEmpty()) {
            out.append(", class ").append(r.classes().stream().sorted().collect(Collectors.joining("|")));
        }
        return out.toString();
    }

    /** Where a route's requests go, with each pool's part. */
    public static String ways(RouteConfig r) {
        return parts(r).entrySet().stream()
                .map(e -> parts(r).size() == 1 && e.getValue() > 0
                        ? e.getKey()
                        : e.getKey() + " " + percent(e.getValue()))
                .collect(Collectors.joining(", "));
    }

    /** Where traffic spills over to; empty where nowhere. */
    public static String spills(RouteConfig r) {
        return r.destinations().stream()
                .flatMap(w -> w.spillTargets().stream())
                .distinct()
                .map(s -> s.pool() + " up to " + percent(s.maxShare()))
                .collect(Collectors.joining(", "));
    }

    private static Map<String, Double> parts(RouteConfig r) {
        double sum = r.destinations().stream().mapToDouble(Destination::weight).sum();
        Map<String, Double> parts = new LinkedHashMap<>();
        r.destinations().forEach(w -> parts.put(w.pool(), sum <= 0 ? 0 : w.weight() / sum));
        return parts;
    }

    private static String percent(double share) {
        double p = share * 100;
        return p == Math.rint(p) ? Math.round(p) + "%" : String.format(Locale.ROOT, "%.1f%%", p);
    }

    /** A rate with its burst and ceiling. */
    public static String of(RateLimit r) {
        return r == null
                ? "none"
                : Units.RATE.write(r.perSecond()) + ", " + Math.round(r.burst()) + " at once"
                        + (r.ceiling() > r.perSecond() ? ", borrowing up to " + Units.RATE.write(r.ceiling()) : "");
    }

    /** A concurrency limit. */
    public static String of(ConcurrencyLimitConfig l) {
        return l == null
                ? "none"
                : l.algorithm() == LimitAlgorithm.FIXED
                        ? l.initial() + " at once"
                        : l.algorithm().name().toLowerCase(Locale.ROOT) + " from " + l.initial() + ", " + l.min()
                                + " to " + l.max();
    }

    /** A retry budget. */
    public static String of(RetryBudgetConfig r) {
        return r == null
                ? "none"
                : percent(r.ratio()) + " of first tries and " + Units.RATE.write(r.minPerSecond())
                        + (r.countClientRetries() ? ", clients' own among them" : "");
    }

    private static String source(PoolSpec p) {
        return p.name().equals(PoolSpec.SITE)
                ? "the platform's list"
                : p.discovery() != null
                        ? "discovery at " + p.discovery().getAddress().getHostAddress() + ":"
                                + p.discovery().getPort()
                        : p.upstreams().stream()
                                .map(a -> a.getAddress().getHostAddress() + ":" + a.getPort())
                                .collect(Collectors.joining(", ", "upstreams ", ""));
    }

    // ---- what changes

    /** What will change in service when {@code next} takes the place of {@code before}; empty where nothing. */
    public static List<String> changes(OperatorConfig before, OperatorConfig next) {
        List<String> out = new ArrayList<>();
        pools(before, next, out);
        routes(before.front(), next.front(), out);
        changed(
                out,
                NO_ROUTE,
                before.front().unmatchedPool() == null
                        ? "refused"
                        : "go to " + before.front().unmatchedPool(),
                next.front().unmatchedPool() == null
                        ? "refused"
                        : "go to " + next.front().unmatchedPool());
        quotas(before.front().quotas(), next.front().quotas(), out);
        changed(
                out,
                "number of instances",
                String.valueOf(before.front().instances()),
                String.valueOf(next.front().instances()));
        changed(
                out,
                "part of limits kept for what is worth most",
                percent(before.front().reservedFraction()),
                percent(next.front().reservedFraction()));
        changed(out, "advice to refused clients", advice(before.front()), advice(next.front()));
        changed(
                out,
                "log",
                before.log().toString().replace("LogPlan", ""),
                next.log().toString().replace("LogPlan", ""));
        return out;
    }

    private static String advice(RoutingConfig f) {
        return Units.TIME.write(f.retryAfter().minMicros()) + " to "
                + Units.TIME.write(f.retryAfter().maxMicros());
    }

    private static void changed(List<String> out, String what, String before, String next) {
        if (!Objects.equals(before, next)) {
            out.add(what + ": " + before + " -> " + next);
        }
    }

    private static void pools(OperatorConfig before, OperatorConfig next, List<String> out) {
        Map<String, PoolConfig> was = new LinkedHashMap<>();
        before.front().pools().forEach(p -> was.put(p.name(), p));
        for (PoolConfig p : next.front().pools()) {
            PoolConfig old = was.remove(p.name());
            PoolSpec spec = next.pool(p.name());
            String name = "pool " + p.name();
            if (old == null) {
                out.add(name + ": new, " + source(spec) + ", limit " + of(p.limit()));
                continue;
            }
            PoolSpec former = before.pool(p.name());
            boolean anew = (spec.discovery() == null) != (former.discovery() == null);
            changed(out, name + (anew ? ", which drains and begins anew" : ""), source(former), source(spec));
            changed(out, name + ": limit", of(old.limit()), of(p.limit()));
            changed(out, name + ": full strength", strength(old), strength(p));
            changed(out, name + ": connections", given(former.connections()), given(spec.connections()));
            changed(out, name + ": memory", given(former.memory()), given(spec.memory()));
            changed(
                    out,
                    name + ": settings",
                    former.settings().toString(),
                    spec.settings().toString());
        }
        was.keySet().forEach(gone -> out.add("pool " + gone + ": dropped; it drains first"));
    }

    private static String strength(PoolConfig p) {
        return p.fullStrength() == 0 ? "learnt" : String.valueOf(p.fullStrength());
    }

    private static String given(long figure) {
        return figure == 0 ? "its part" : String.valueOf(figure);
    }

    private static void routes(RoutingConfig before, RoutingConfig next, List<String> out) {
        Map<String, RouteConfig> was = new LinkedHashMap<>();
        before.routes().forEach(r -> was.put(r.route().name(), r));
        for (RouteConfig r : next.routes()) {
            String name = "route " + r.route().name();
            RouteConfig old = was.remove(r.route().name());
            if (old == null) {
                out.add(name + ": new, " + of(r.route()) + " to " + ways(r));
                continue;
            }
            changed(out, name + " takes", of(old.route()), of(r.route()));
            if (!parts(old).equals(parts(r))) {
                out.add(name + ": " + ways(old) + " -> " + ways(r) + "; " + percent(moving(old, r))
                        + " of its keys move");
            }
            changed(out, name + " spills to", empty(spills(old)), empty(spills(r)));
            changed(out, name + ": retries", of(old.retryBudget()), of(r.retryBudget()));
            changed(out, name + ": rate", of(old.rate()), of(r.rate()));
            changed(
                    out,
                    name + ": deadline",
                    old.deadlineMicros() == 0 ? "the client's" : Units.TIME.write(old.deadlineMicros()),
                    r.deadlineMicros() == 0 ? "the client's" : Units.TIME.write(r.deadlineMicros()));
            changed(out, name + ": spare", percent(old.spareFactor()), percent(r.spareFactor()));
            changed(out, name + ": return", percent(old.returnPerSecond()) + "/s", percent(r.returnPerSecond()) + "/s");
        }
        was.values()
                .forEach(r -> out.add(
                        "route " + r.route().name() + ": dropped, " + of(r.route()) + " goes to the next that fits"));
    }

    private static String empty(String text) {
        return text.isEmpty() ? "nowhere" : text;
    }

    // With rendezvous hashing just what the pools that shrink lose moves.
    private static double moving(RouteConfig old, RouteConfig r) {
        Map<String, Double> was = parts(old);
        Map<String, Double> is = parts(r);
        double lost = 0;
        for (Map.Entry<String, Double> e : was.entrySet()) {
            lost += Math.max(0, e.getValue() - is.getOrDefault(e.getKey(), 0.0));
        }
        return lost;
    }

    private static void quotas(QuotaConfig before, QuotaConfig next, List<String> out) {
        changed(out, "quota of the site", of(before.site()), of(next.site()));
        changed(out, "quota of all others", of(before.others()), of(next.others()));
        TreeSet<String> tenants = new TreeSet<>(before.tenants().keySet());
        tenants.addAll(next.tenants().keySet());
        for (String t : tenants) {
            TenantQuotaConfig a = before.tenants().get(t);
            TenantQuotaConfig b = next.tenants().get(t);
            String others = "as all others";
            changed(out, "quota of tenant " + t, a == null ? others : of(a.rate()), b == null ? others : of(b.rate()));
            TreeSet<String> routes =
                    new TreeSet<>(a == null ? List.of() : a.routes().keySet());
            routes.addAll(b == null ? List.of() : b.routes().keySet());
            for (String r : routes) {
                changed(
                        out,
                        "quota of tenant " + t + " on route " + r,
                        of(a == null ? null : a.routes().get(r)),
                        of(b == null ? null : b.routes().get(r)));
            }
        }
    }
}
