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
 * Decides which pool takes a request, or rejects it. A request is rejected immediately, before any attempt. An admitted
 * request stays with its pool until it ends, so a request that may have been executed in one pool is never sent to
 * another.
 *
 * <p>The checks run from the cheapest and most final to the most expensive: path and route, retry budget for clients'
 * retries, rates (of the route, then of tenant and site), choice of the pool by split and overflow, concurrency limit
 * of the pool. If a check rejects a request, what earlier checks counted for it is not given back, because a rejected
 * request is load, too.
 *
 * <p>Pure: the caller passes the time in microseconds, which may stand still but must not go back. Not thread-safe.
 */
public final class RequestRouter {
    private final RoutingConfig config;
    private final RouteTable table;
    private final Map<String, PoolState> pools = new LinkedHashMap<>();
    private final Map<Route, RouteState> routes = new IdentityHashMap<>();
    private final QuotaTree quotas;

    /** Creates a router without requests in flight and without endpoints. */
    public RequestRouter(RoutingConfig config) {
        this.config = config;
        for (PoolConfig pool : config.pools()) {
            pools.put(pool.name(), new PoolState(pool));
        }
        List<Route> tableRoutes = new ArrayList<>();
        for (RouteConfig route : config.routes()) {
            tableRoutes.add(route.route());
            routes.put(route.route(), new RouteState(route, config.instances(), pools));
        }
        table = new RouteTable(tableRoutes);
        quotas = new QuotaTree(config.quotas(), config.instances());
    }

    /** Returns the configuration of the router. */
    public RoutingConfig config() {
        return config;
    }

    /** Returns the compiled routes. */
    public RouteTable table() {
        return table;
    }

    /**
     * Takes over the state of a former router: pools, rates, retry budgets and traffic shares, matched by name. Leases
     * of the former router stay valid and may be ended at either router. The former router must not receive further
     * requests.
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

    // The object itself is taken over, because the leases of requests in flight refer to it.
    private void replacePool(PoolState replaced, PoolState kept) {
        pools.put(replaced.name(), kept);
        routes.values().forEach(route -> route.replacePool(replaced, kept));
    }

    /** Sets how many endpoints of a pool requests may be sent to; an unknown pool is ignored. */
    public void setEndpointsUp(long nowMicros, String pool, int endpoints) {
        PoolState state = pools.get(pool);
        if (state != null) {
            state.setEndpointsUp(nowMicros, endpoints);
        }
    }

    /** Decides about a request that has arrived, and counts it. */
    public RoutingDecision route(long nowMicros, RoutingRequest request) {
        if (request.attributes().path() == null) {
            return RoutingDecision.badPath();
        }
        Route match = table.find(request.attributes());
        RouteState route = match == null ? null : routes.get(match);
        if (route == null && config.unmatchedPool() == null) {
            return RoutingDecision.notFound();
        }
        double reservedFraction = config.reservedFraction() * (1 - request.priority());
        if (route != null && !route.tryPassRetryBudget(nowMicros, request.clientRetry())) {
            return rejected(RejectionReason.CLIENT_RETRIES, config.retryAfter().maxMicros(), request);
        }
        if (route != null && !route.tryTakeRate(nowMicros, reservedFraction)) {
            return rejected(RejectionReason.ROUTE_RATE, route.rateWaitMicros(nowMicros), request);
        }
        String quotaNode = quotas.node(request.attributes().tenant(), match);
        if (!quotas.tryTake(nowMicros, quotaNode, reservedFraction)) {
            return rejected(RejectionReason.QUOTA, quotas.waitMicros(nowMicros, quotaNode), request);
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
        return RoutingDecision.rejected(reason, config.retryAfter().retryAfterMicros(waitMicros, request.random()));
    }

    /** Whether the pool may retry an admitted request; if so, the retry is taken from the retry budget. */
    public boolean allowsRetry(long nowMicros, RouteLease lease) {
        return lease.allowsRetry(nowMicros);
    }

    /** Records the end of an admitted request; only the first call for a lease counts. */
    public void ended(long nowMicros, RouteLease lease, LeaseEnd end) {
        lease.end(nowMicros, end);
    }

    /** Returns the current state of all pools. */
    public List<PoolStatus> poolStatus() {
        return pools.values().stream().map(PoolState::status).toList();
    }

    /**
     * Returns the last computed shares of a destination's pool and of its spill targets; empty if there are none yet.
     *
     * @param destination index of the destination in the route's configuration
     * @throws IllegalArgumentException if there is no such route
     */
    public double[] shares(String route, int destination) {
        for (RouteState state : routes.values()) {
            if (state.name().equals(route)) {
                return state.destinations().get(destination).shares();
            }
        }
        throw new IllegalArgumentException("no route '" + route + "'");
    }

    /** Returns a description for operators of the quota that a request counts at, or null if there is none. */
    public String describeQuota(String tenant, Route route) {
        return quotas.describe(tenant, route);
    }

    /** Returns the index of the destination that the traffic split gives a key; -1 if all weights are 0. */
    public int destinationOf(Route route, String key) {
        return routes.get(route).destinationOf(TrafficSplit.hash(key));
    }
}
