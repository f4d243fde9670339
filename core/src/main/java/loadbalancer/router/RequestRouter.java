package loadbalancer.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routes.Route;
import loadbalancer.routes.RouteTable;
import loadbalancer.routes.TrafficSplit;

/**
 * Decides which pool takes a request, or that none does. What is rejected here is rejected at once, before any
 * attempt; what is admitted stays with its pool to the end, so nothing that may have run in one pool is ever sent to
 * another.
 *
 * <p>The checks come in this order, the cheapest and the most final first: path and route, the budget for clients'
 * retries, rates (route, then tenant and site), the pool by split and overflow, the pool's concurrency limit. What an
 * earlier check has counted and a later one rejects is not given back: a rejected request is load, too.
 *
 * <p>Pure: the caller brings the time, in microseconds, which may stand still but not go back. Not thread-safe.
 */
public final class RequestRouter {
    private final RoutingConfig config;
    private final RouteTable table;
    private final Map<String, PoolState> pools = new LinkedHashMap<>();
    private final Map<Route, RouteState> routes = new IdentityHashMap<>();
    private final QuotaTree quotas;

    /** Creates a router that has seen no request and knows no endpoints. */
    public RequestRouter(RoutingConfig config) {
        this.config = config;
        for (PoolConfig pool : config.pools()) {
            pools.put(pool.name(), new PoolState(pool));
        }
        List<Route> matches = new ArrayList<>();
        for (RouteConfig route : config.routes()) {
            matches.add(route.route());
            routes.put(route.route(), new RouteState(route, config.instances(), pools));
        }
        table = new RouteTable(matches);
        quotas = new QuotaTree(config.quotas(), config.instances());
    }

    /** What it goes by. */
    public RoutingConfig config() {
        return config;
    }

    /** Its routes, compiled. */
    public RouteTable table() {
        return table;
    }

    /**
     * Goes on from another router: pools, rates, budgets and shares keep their state by name. Requests that the other
     * admitted end here as well as there. The other must not be given requests any more.
     */
    public void restore(RequestRouter former) {
        for (PoolState formerPool : former.pools.values()) {
            PoolState fresh = pools.get(formerPool.name());
            if (fresh != null) {
                replacePool(fresh, formerPool);
                formerPool.reconfigure(fresh);
            }
        }
        Map<String, RouteState> formerRoutes = new HashMap<>();
        former.routes.values().forEach(route -> formerRoutes.put(route.name(), route));
        for (RouteState route : routes.values()) {
            RouteState formerRoute = formerRoutes.get(route.name());
            if (formerRoute != null) {
                route.restore(formerRoute);
            }
        }
        quotas.restore(former.quotas);
    }

    // The state itself goes over, because the leases of its requests in flight refer to it.
    private void replacePool(PoolState replaced, PoolState kept) {
        pools.put(replaced.name(), kept);
        routes.values().forEach(route -> route.replacePool(replaced, kept));
    }

    /** A pool has that many endpoints that requests may be sent to; an unknown pool is ignored. */
    public void setEndpointsUp(long nowMicros, String pool, int endpoints) {
        PoolState state = pools.get(pool);
        if (state != null) {
            state.setEndpointsUp(nowMicros, endpoints);
        }
    }

    /** Decides about a request that has come in, and counts it. */
    public RoutingDecision route(long nowMicros, RoutingRequest request) {
        if (request.attributes().path() == null) {
            return RoutingDecision.badPath();
        }
        Route match = table.find(request.attributes());
        RouteState route = match == null ? null : routes.get(match);
        if (route == null && config.unmatchedPool() == null) {
            return RoutingDecision.notFound();
        }
        double reservedFraction = config.reservedFraction() * (1 - request.rank());
        if (route != null && !route.passesRetryBudget(nowMicros, request.clientRetry())) {
            return rejected(RejectionReason.CLIENT_RETRIES, config.retryAfter().maxMicros(), request);
        }
        if (route != null && !route.passesRate(nowMicros, reservedFraction)) {
            return rejected(RejectionReason.ROUTE_RATE, route.rateWaitMicros(nowMicros), request);
        }
        String quota = quotas.node(request.attributes().tenant(), match);
        if (!quotas.passes(nowMicros, quota, reservedFraction)) {
            return rejected(RejectionReason.QUOTA, quotas.waitMicros(nowMicros, quota), request);
        }
        return admit(nowMicros, route, reservedFraction, request);
    }

    private RoutingDecision admit(long nowMicros, RouteState route, double reservedFraction, RoutingRequest request) {
        PoolState pool =
                route == null ? pools.get(config.unmatchedPool()) : route.choosePool(nowMicros, splitKey(request));
        if (pool == null) {
            return rejected(RejectionReason.NO_POOL, config.retryAfter().minMicros(), request);
        }
        if (!pool.tryAdmit(nowMicros, reservedFraction)) {
            return rejected(RejectionReason.POOL_LIMIT, config.retryAfter().minMicros(), request);
        }
        return RoutingDecision.admitted(new RouteLease(route, pool, nowMicros, pool.inFlight()));
    }

    private static long splitKey(RoutingRequest request) {
        return request.key() == null ? (long) (request.random() * Long.MAX_VALUE) : TrafficSplit.hash(request.key());
    }

    private RoutingDecision rejected(RejectionReason reason, long waitMicros, RoutingRequest request) {
        return RoutingDecision.rejected(reason, config.retryAfter().advice(waitMicros, request.random()));
    }

    /** Whether an admitted request may be retried by its pool; counts the retry where so. */
    public boolean allowsRetry(long nowMicros, RouteLease lease) {
        return lease.allowsRetry(nowMicros);
    }

    /** An admitted request has ended; only the first call for a lease counts. */
    public void ended(long nowMicros, RouteLease lease, LeaseEnd end) {
        lease.end(nowMicros, end);
    }

    /** All pools as they stand. */
    public List<PoolStatus> poolStatus() {
        return pools.values().stream().map(PoolState::status).toList();
    }

    /**
     * The shares of a destination's pool and of its spill targets, as last computed; empty where none were yet.
     *
     * @param destination its index in the route's configuration
     * @throws IllegalArgumentException where there is no such route
     */
    public double[] shares(String route, int destination) {
        for (RouteState state : routes.values()) {
            if (state.name().equals(route)) {
                return state.destinations().get(destination).shares();
            }
        }
        throw new IllegalArgumentException("no route '" + route + "'");
    }

    /** Names the quota that a request counts at, for operators; null where there is none. */
    public String describeQuota(String tenant, Route route) {
        return quotas.describe(tenant, route);
    }

    /** The index of the destination that a key takes by the split alone; -1 where all weights are 0. */
    public int destinationOf(Route route, String key) {
        return routes.get(route).destinationOf(TrafficSplit.hash(key));
    }
}
