package loadbalancer.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.limits.ConcurrencyLimit;
import loadbalancer.limits.RetryBudget;
import loadbalancer.limits.TokenTree;
import loadbalancer.limits.TokenTree.Rate;
import loadbalancer.routes.Overflow;
import loadbalancer.routes.PoolHealth;
import loadbalancer.routes.Route;
import loadbalancer.routes.RouteTable;
import loadbalancer.routes.Split;

/**
 * Decides which pool takes a request, or that none does. What is refused here is refused at once, before any attempt;
 * what is taken stays with its pool to the end, so nothing that may have run in one pool is ever sent to another.
 *
 * <p>The checks come in this order, the cheapest and the most final first: path and route, the budget for clients'
 * retries, rates (route, then tenant and site), the pool by split and overflow, the pool's concurrency limit. What
 * an earlier check has counted and a later one refuses is not given back: a refused request is load, too.
 *
 * <p>Pure; times are the caller's, in µs, and may stand still. Not thread-safe.
 */
public final class RequestRouter {
    /** What becomes of a request. */
    public enum Answer {
        TAKEN,
        REFUSED,
        NOT_FOUND,
        BAD_PATH
    }

    /**
     * How a request that was taken ended: served, failed or refused after an attempt, refused by its pool's module
     * before any attempt, or left by its client.
     */
    public enum End {
        SERVED,
        FAILED,
        UNSENT,
        GONE
    }

    /** Why a request was refused; counted by the caller, named in logs. */
    public enum Reason {
        NONE,
        CLIENT_RETRIES,
        ROUTE_RATE,
        QUOTA,
        NO_POOL,
        POOL_LIMIT,
        NO_ROUTE,
        BAD_PATH
    }

    /**
     * A request, as far as a front cares.
     *
     * @param key what the request concerns, or null; the split goes by it
     * @param rank from 0, worth least of all classes, to 1, worth most
     * @param again its client says that it has tried before
     * @param u from the caller's random stream, from 0 to under 1
     */
    public record Arrival(Route.Request request, String key, double rank, boolean again, double u) {}

    /** The word on a request; {@code ticket} only where it was taken, {@code retryAfter} in µs, 0 for no advice. */
    public record RoutingDecision(Answer answer, Reason reason, RouteLease ticket, long retryAfter) {}

    /** What a taken request holds until it ends. */
    public static final class RouteLease {
        private final RouteState route;
        private final PoolState pool;
        private final long at;
        private final int open;
        private boolean over;

        private RouteLease(RouteState route, PoolState pool, long at, int open) {
            this.route = route;
            this.pool = pool;
            this.at = at;
            this.open = open;
        }

        /** Name of the pool that has it. */
        public String pool() {
            return pool.plan.name();
        }

        /** Name of the route it came by; null where none took it. */
        public String route() {
            return route == null ? null : route.plan.match().name();
        }

        /** The longest that it may take, in µs; 0: as its client says. */
        public long deadline() {
            return route == null ? 0 : route.plan.deadline();
        }
    }

    private static final class PoolState {
        private RoutingConfig.PoolPlan plan;
        private PoolHealth health;
        private ConcurrencyLimit limit;
        private int open;

        PoolState(RoutingConfig.PoolPlan plan) {
            this.plan = plan;
            this.health = new PoolHealth(plan.fullStrength());
            this.limit = plan.limit() == null ? null : plan.limit().make();
        }

        /** Goes by what {@code other} was made for; what has changed begins anew, what is open stays. */
        void become(PoolState other) {
            if (plan.fullStrength() != other.plan.fullStrength()) {
                other.health.listed(0, health.up());
                health = other.health;
            }
            if (!java.util.Objects.equals(plan.limit(), other.plan.limit())) {
                limit = other.limit;
            }
            plan = other.plan;
        }

        boolean full(double kept) {
            if (limit == null) {
                return false;
            }
            int most = limit.limit();
            // One at the least, where anything at all may: a small limit is no reason to starve a class.
            return open >= Math.max(Math.min(1, most), (int) Math.ceil(most * (1 - kept)));
        }
    }

    private static final class WayState {
        private final List<PoolState> pools = new ArrayList<>();
        private final Overflow overflow;
        private double[] shares;
        private long at = Long.MIN_VALUE;

        WayState(Overflow overflow) {
            this.overflow = overflow;
        }
    }

    private static final class RouteState {
        private final RoutingConfig.RoutePlan plan;
        private final Split split;
        private final List<WayState> ways = new ArrayList<>();
        private final RetryBudget budget;
        private final TokenTree rate;

        RouteState(RoutingConfig.RoutePlan plan, Split split, RetryBudget budget, TokenTree rate) {
            this.plan = plan;
            this.split = split;
            this.budget = budget;
            this.rate = rate;
        }
    }

    private static final long SHARES_EVERY = 50_000; // µs between looks at the pools' health
    private static final String SITE = ""; // no tenant or route has an empty name
    private static final String OTHERS = "/";

    private final RoutingConfig plan;
    private final RouteTable table;
    private final Map<String, PoolState> pools = new LinkedHashMap<>();
    private final Map<Route, RouteState> routes = new IdentityHashMap<>();
    private final TokenTree quotas;

    /** A front by that plan, which knows nothing of what went before. */
    public RequestRouter(RoutingConfig plan) {
        this.plan = plan;
        for (RoutingConfig.PoolPlan p : plan.pools()) {
            pools.put(p.name(), new PoolState(p));
        }
        List<Route> all = new ArrayList<>();
        for (RoutingConfig.RoutePlan r : plan.routes()) {
            all.add(r.match());
            routes.put(r.match(), route(r));
        }
        table = new RouteTable(all);
        quotas = quotas();
    }

    private RouteState route(RoutingConfig.RoutePlan r) {
        RoutingConfig.Retries retries = r.retries();
        RouteState state = new RouteState(
                r,
                new Split(
                        r.ways().stream().map(RoutingConfig.Way::pool).toArray(String[]::new),
                        r.ways().stream().mapToDouble(RoutingConfig.Way::weight).toArray()),
                retries == null
                        ? null
                        : new RetryBudget(
                                retries.share(), retries.leastPerSecond() / plan.instances(), retries.window()),
                r.rate() == null ? null : new TokenTree(SITE, own(r.rate())));
        for (RoutingConfig.Way w : r.ways()) {
            double[] most = new double[1 + w.spills().size()];
            most[0] = 1;
            for (int i = 1; i < most.length; i++) {
                most[i] = w.spills().get(i - 1).most();
            }
            WayState way = new WayState(new Overflow(r.spare(), r.returnPerSecond(), most));
            way.pools.add(pools.get(w.pool()));
            w.spills().forEach(s -> way.pools.add(pools.get(s.pool())));
            state.ways.add(way);
        }
        return state;
    }

    private TokenTree quotas() {
        RoutingConfig.Quotas q = plan.quotas();
        if (q.site() == null) {
            return null;
        }
        TokenTree tree = new TokenTree(SITE, own(q.site()));
        if (q.others() != null) {
            tree.add(SITE, OTHERS, own(q.others()));
        }
        q.tenants().forEach((tenant, quota) -> {
            tree.add(SITE, tenant, own(quota.rate()));
            quota.routes().forEach((route, rate) -> tree.add(tenant, tenant + "/" + route, own(rate)));
        });
        return tree;
    }

    /** This instance's part of a rate: all have the same, and nobody tells another what is left. */
    private Rate own(Rate site) {
        int n = plan.instances();
        return new Rate(site.perSecond() / n, Math.max(1, site.burst() / n), site.ceiling() / n);
    }

    /** What it goes by. */
    public RoutingConfig plan() {
        return plan;
    }

    /** Its routes, compiled. */
    public RouteTable table() {
        return table;
    }

    /**
     * Goes on from another front: pools, rates, budgets and shares keep what they had by name. Requests that the other
     * took end here as well as there. The other must not be asked any more.
     */
    public void restore(RequestRouter former) {
        for (Map.Entry<String, PoolState> e : former.pools.entrySet()) {
            PoolState now = pools.get(e.getKey());
            if (now != null) {
                replace(now, e.getValue());
                e.getValue().become(now);
            }
        }
        Map<String, RouteState> before = new HashMap<>();
        former.routes.values().forEach(r -> before.put(r.plan.match().name(), r));
        for (RouteState r : routes.values()) {
            RouteState old = before.get(r.plan.match().name());
            if (old == null) {
                continue;
            }
            if (r.budget != null && old.budget != null) {
                r.budget.restore(old.budget);
            }
            if (r.rate != null && old.rate != null) {
                r.rate.restore(old.rate);
            }
            for (WayState w : r.ways) {
                for (WayState o : old.ways) {
                    if (names(w).equals(names(o))) {
                        w.overflow.restore(o.overflow);
                    }
                }
            }
        }
        if (quotas != null && former.quotas != null) {
            quotas.restore(former.quotas);
        }
    }

    // The same pool: the state itself goes over, with the requests that are open in it.
    private void replace(PoolState now, PoolState before) {
        pools.put(now.plan.name(), before);
        for (RouteState r : routes.values()) {
            for (WayState w : r.ways) {
                w.pools.replaceAll(p -> p == now ? before : p);
            }
        }
    }

    private static List<String> names(WayState way) {
        return way.pools.stream().map(p -> p.plan.name()).toList();
    }

    // ---- events

    /** So many upstreams of that pool may be sent to now. */
    public void listed(long now, String pool, int upstreams) {
        PoolState p = pools.get(pool);
        if (p != null) {
            p.health.listed(now, upstreams);
        }
    }

    /** A request has come. */
    public RoutingDecision arrive(long now, Arrival a) {
        if (a.request.path() == null) {
            return new RoutingDecision(Answer.BAD_PATH, Reason.BAD_PATH, null, 0);
        }
        Route found = table.find(a.request);
        RouteState route = found == null ? null : routes.get(found);
        if (route == null && plan.unmatched() == null) {
            return new RoutingDecision(Answer.NOT_FOUND, Reason.NO_ROUTE, null, 0);
        }
        double kept = plan.reserve() * (1 - a.rank);
        if (route != null) {
            if (route.budget != null) {
                if (a.again && route.plan.retries().countClients()) {
                    if (!route.budget.withdraw(now)) {
                        return refused(Reason.CLIENT_RETRIES, plan.retryAfter().most(), a.u);
                    }
                } else {
                    route.budget.deposit(now);
                }
            }
            if (route.rate != null && !route.rate.take(now, SITE, kept)) {
                return refused(Reason.ROUTE_RATE, route.rate.wait(now, SITE), a.u);
            }
        }
        String node = node(a.request.tenant(), found);
        if (node != null && !quotas.take(now, node, kept)) {
            return refused(Reason.QUOTA, quotas.wait(now, node), a.u);
        }
        PoolState pool = route == null ? pools.get(plan.unmatched()) : choose(now, route, a);
        if (pool == null) {
            return refused(Reason.NO_POOL, plan.retryAfter().least(), a.u);
        }
        if (pool.full(kept)) {
            pool.health.ended(now, false);
            return refused(Reason.POOL_LIMIT, plan.retryAfter().least(), a.u);
        }
        pool.open++;
        return new RoutingDecision(Answer.TAKEN, Reason.NONE, new RouteLease(route, pool, now, pool.open), 0);
    }

    // Some advice is better than none where a wait is not known; spread, or all come back at one instant.
    private RoutingDecision refused(Reason reason, long wait, double u) {
        RoutingConfig.Advice bounds = plan.retryAfter();
        long most = bounds.most();
        long advice = most == 0
                ? 0
                : Math.max(
                        bounds.least(),
                        Math.min(most, wait > most ? most : (long) (wait + u * Math.max(bounds.least(), wait))));
        return new RoutingDecision(Answer.REFUSED, reason, null, advice);
    }

    /** The limit that a tenant's request on a route counts at; null where there is none. */
    private String node(String tenant, Route route) {
        if (quotas == null) {
            return null;
        }
        if (tenant == null
                || tenant.equals(OTHERS)
                || tenant.isEmpty()
                || !plan.quotas().tenants().containsKey(tenant)) {
            return quotas.has(OTHERS) ? OTHERS : SITE;
        }
        String within = route == null ? null : tenant + "/" + route.name();
        return within != null && quotas.has(within) ? within : tenant;
    }

    private PoolState choose(long now, RouteState route, Arrival a) {
        long key = a.key == null ? (long) (a.u * Long.MAX_VALUE) : Split.hash(a.key);
        int chosen = route.split.choose(key);
        if (chosen < 0) {
            return null;
        }
        WayState way = route.ways.get(chosen);
        if (way.pools.size() == 1) {
            return way.pools.get(0);
        }
        if (way.shares == null || now - way.at >= SHARES_EVERY) {
            double[] healthy = new double[way.pools.size()];
            for (int i = 0; i < healthy.length; i++) {
                double share = way.shares == null ? i == 0 ? 1 : 0 : way.shares[i];
                healthy[i] = way.pools.get(i).health.healthy(now, share, route.plan.spare());
            }
            way.shares = way.overflow.shares(now, healthy);
            way.at = now;
        }
        // By the key, not by chance: the same keys spill first, and keep to where they have been.
        double at = (Split.hash(Long.toString(key)) >>> 11) * 0x1.0p-53;
        for (int i = 0; i < way.shares.length; i++) {
            at -= way.shares[i];
            if (at < 0) {
                return way.pools.get(i);
            }
        }
        return null; // what no pool can take
    }

    /** Whether a taken request may be tried once more by its pool; counts it where so. */
    public boolean mayTryAgain(long now, RouteLease t) {
        return t.route == null || t.route.budget == null || t.route.budget.withdraw(now);
    }

    /** A taken request has ended; each ends once, what is told again is passed over. */
    public void ended(long now, RouteLease t, End end) {
        if (t.over) {
            return;
        }
        t.over = true;
        t.pool.open--;
        if (end == End.GONE) {
            return; // says nothing of the pool
        }
        boolean served = end == End.SERVED;
        t.pool.health.ended(now, served);
        // What was never sent says nothing of latency or room: the module has shed it by a measure of its own, and two
        // that answered each other's shedding with more would starve the pool together.
        if (t.pool.limit != null && end != End.UNSENT) {
            t.pool.limit.ended(now, now - t.at, !served, t.open);
        }
    }

    // ---- what operators see

    /** A pool as it stands. */
    public record PoolView(String name, int open, int limit, int upstreams) {}

    /** All pools as they stand; {@code limit} -1 where there is none. */
    public List<PoolView> view() {
        return pools.values().stream()
                .map(p -> new PoolView(p.plan.name(), p.open, p.limit == null ? -1 : p.limit.limit(), p.health.up()))
                .toList();
    }

    /** The shares of a route's first, second ... pool by its n-th way, as last reckoned; for tests and operators. */
    public double[] shares(String route, int way) {
        for (RouteState r : routes.values()) {
            if (r.plan.match().name().equals(route)) {
                double[] s = r.ways.get(way).shares;
                return s == null ? new double[0] : s.clone();
            }
        }
        throw new IllegalArgumentException("no route '" + route + "'");
    }

    /** The name of the limit that a tenant's request counts at, in words; null where there is none. */
    public String limitOf(String tenant, Route route) {
        String node = node(tenant, route);
        return node == null
                ? null
                : node.equals(SITE)
                        ? "the site's"
                        : node.equals(OTHERS)
                                ? "that of all others"
                                : node.contains("/")
                                        ? "that of tenant '" + tenant + "' on this route"
                                        : "that of tenant '" + tenant + "'";
    }

    /** The way that a key takes by the split alone; -1 where all weights are 0. */
    public int way(Route route, String key) {
        return routes.get(route).split.choose(Split.hash(key));
    }
}
