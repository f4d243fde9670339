package loadbalancer.routing;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import loadbalancer.dispatch.ClientResponder;
import loadbalancer.dispatch.RequestDispatcher;
import loadbalancer.dispatch.RequestHandler;
import loadbalancer.handover.HandoverDocument;
import loadbalancer.handover.HandoverFormatException;
import loadbalancer.handover.HandoverState;
import loadbalancer.logs.Log;
import loadbalancer.operator.OperatorConfig;
import loadbalancer.operator.PoolSpec;
import loadbalancer.router.LeaseEnd;
import loadbalancer.router.RejectionReason;
import loadbalancer.router.RequestRouter;
import loadbalancer.router.RouteLease;
import loadbalancer.router.RoutingDecision;
import loadbalancer.router.RoutingRequest;
import loadbalancer.routes.PathTemplate;
import loadbalancer.routes.RouteRequest;
import loadbalancer.settings.BootSettings;
import loadbalancer.transport.HeaderNames;
import loadbalancer.transport.InboundRequest;

/**
 * Connects the client connections to the pools: passes each request to the dispatcher of the pool that {@link
 * RequestRouter} chooses, and rejects the requests that the router rejects. It makes no routing decisions itself. A
 * process has one gateway if it has an operator file, and otherwise none.
 *
 * <p>Belongs to the event loop's thread.
 */
public final class RoutingGateway implements RequestHandler {
    private static final long POOL_SIZE_INTERVAL_MILLIS = 100;
    private static final Runnable NOTHING_TO_CANCEL = () -> {};

    private final EventLoop loop;
    private final SitePool sitePool;
    private final PoolLimits totalLimits;
    private final Log log;
    private final SplittableRandom random;
    private final PoolRegistry pools;
    private final PoolMemoryBudget siteMemoryBudget = new PoolMemoryBudget(Long.MAX_VALUE);
    private final RejectionCounter rejections;
    private final RoutedResponder.Listener routerFeedback = new RouterFeedback();
    private OperatorConfig operatorConfig;
    private RequestRouter router;
    private BootSettings siteSettings;
    private List<String> routedHeaders = List.of();
    private double[] classRanks = new double[0];
    private long replacements;

    /**
     * Creates a gateway. {@link #configure} has to be called before the first request.
     *
     * @param maxConnections the maximum number of upstream connections that all pools may open together
     * @param maxBodyBytes the maximum number of request body bytes that all pools may hold together
     */
    public RoutingGateway(
            SitePool sitePool,
            PoolEnvironment environment,
            BootSettings siteSettings,
            int maxConnections,
            long maxBodyBytes) {
        this.loop = environment.loop();
        this.sitePool = sitePool;
        this.siteSettings = siteSettings;
        this.totalLimits = new PoolLimits(maxConnections, maxBodyBytes);
        this.log = environment.log();
        this.random = new SplittableRandom(environment.seed());
        this.pools = new PoolRegistry(environment);
        this.rejections = new RejectionCounter(log);
    }

    /** Applies an operator file. Pools and routes keep their state by name; removed pools are drained. */
    public void configure(OperatorConfig next) {
        boolean first = operatorConfig == null;
        operatorConfig = next;
        configurePools(next.pools());
        replaceRouter(new RequestRouter(next.routing()));
        classRanks = PriorityRanks.of(siteSettings.policySettings().classes());
        updatePoolSizes();
        if (first) {
            loop.scheduleWithFixedDelay(
                    this::updatePoolSizes, POOL_SIZE_INTERVAL_MILLIS, POOL_SIZE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void configurePools(List<PoolSpec> specs) {
        Set<String> names = new LinkedHashSet<>();
        for (PoolSpec spec : specs) {
            names.add(spec.name());
            PoolLimits limits = PoolLimits.of(spec, specs.size(), totalLimits);
            if (spec.name().equals(PoolSpec.SITE)) {
                siteMemoryBudget.setMaxBytes(limits.maxBodyBytes());
            } else {
                pools.put(spec, siteSettings, limits);
            }
        }
        pools.retain(names);
    }

    private void replaceRouter(RequestRouter next) {
        if (router != null) {
            next.restore(router);
            replacements++;
        }
        router = next;
        Set<String> headers = new LinkedHashSet<>();
        next.table().routes().forEach(route -> headers.addAll(route.headers().keySet()));
        routedHeaders = List.copyOf(headers);
    }

    /** Applies new site settings. */
    public void reconfigure(BootSettings next) {
        siteSettings = next;
        pools.reconfigure(next);
        classRanks = PriorityRanks.of(next.policySettings().classes());
    }

    /** Updates the router's count of usable endpoints for each pool. */
    public void updatePoolSizes() {
        long now = sitePool.dispatcher().nowMicros();
        router.setEndpointsUp(now, PoolSpec.SITE, sitePool.membership().usableCount());
        pools.pools()
                .forEach(pool -> router.setEndpointsUp(
                        now, pool.name(), pool.membership().usableCount()));
    }

    @Override
    public boolean isOpen(String requestId) {
        return sitePool.dispatcher().isOpen(requestId) || pools.isOpen(requestId);
    }

    @Override
    public Runnable handle(InboundRequest request, ClientResponder responder) {
        RoutingDecision decision = router.route(sitePool.dispatcher().nowMicros(), routingRequest(request));
        if (decision.lease() == null) {
            reject(decision, responder);
            return NOTHING_TO_CANCEL;
        }
        return dispatch(request, decision.lease(), responder);
    }

    private void reject(RoutingDecision decision, ClientResponder responder) {
        rejections.increment(decision.reason());
        switch (decision.outcome()) {
            case NOT_FOUND -> responder.rejectWith(HttpResponseStatus.NOT_FOUND, "no route");
            case BAD_PATH -> responder.rejectWith(HttpResponseStatus.BAD_REQUEST, "a path that can't be routed");
            default -> responder.reject(decision.retryAfterMicros());
        }
    }

    private Runnable dispatch(InboundRequest request, RouteLease lease, ClientResponder responder) {
        UpstreamPool pool = pools.get(lease.pool());
        PoolMemoryBudget memoryBudget = pool == null ? siteMemoryBudget : pool.memoryBudget();
        long bodyBytes = request.body().length;
        if (!memoryBudget.tryReserve(bodyBytes)) {
            rejections.increment(RejectionReason.POOL_LIMIT);
            router.ended(sitePool.dispatcher().nowMicros(), lease, LeaseEnd.NOT_SENT);
            responder.reject(operatorConfig.routing().retryAfter().minMicros());
            return NOTHING_TO_CANCEL;
        }
        RoutedResponder routedResponder =
                new RoutedResponder(responder, lease, memoryBudget, bodyBytes, routerFeedback);
        RequestDispatcher dispatcher = pool == null ? sitePool.dispatcher() : pool.dispatcher();
        Runnable cancel = dispatcher.handle(withinDeadline(request, lease.deadlineMicros()), routedResponder);
        return () -> {
            routedResponder.clientGone();
            cancel.run();
        };
    }

    private static InboundRequest withinDeadline(InboundRequest request, long deadlineMicros) {
        return deadlineMicros > 0 && deadlineMicros < request.timeLeftMicros()
                ? request.withTimeLeft(deadlineMicros)
                : request;
    }

    private RoutingRequest routingRequest(InboundRequest request) {
        RouteRequest attributes = new RouteRequest(
                request.method().name(),
                PathTemplate.split(request.uri()),
                routedHeaders(request),
                request.headers().get(HeaderNames.TENANT),
                siteSettings.classes().get(request.requestClass()));
        return new RoutingRequest(
                attributes,
                request.key(),
                classRanks[request.requestClass()],
                request.clientRetry(),
                random.nextDouble());
    }

    private Map<String, String> routedHeaders(InboundRequest request) {
        if (routedHeaders.isEmpty()) {
            return Map.of();
        }
        Map<String, String> values = new HashMap<>();
        for (String header : routedHeaders) {
            String value = request.headers().get(header);
            if (value != null) {
                values.put(header, value);
            }
        }
        return values;
    }

    /**
     * Notifies the router of the events of admitted requests. This is always the router in use, which may have replaced
     * the one that admitted the request.
     */
    private final class RouterFeedback implements RoutedResponder.Listener {
        @Override
        public boolean allowsRetry(RouteLease lease) {
            return router.allowsRetry(sitePool.dispatcher().nowMicros(), lease);
        }

        @Override
        public void ended(RouteLease lease, LeaseEnd end) {
            router.ended(sitePool.dispatcher().nowMicros(), lease, end);
        }
    }

    /** Drains an endpoint in every pool but the site's; returns false if no pool has it. */
    public boolean drainEndpoint(String endpointId) {
        return pools.applyToAll(pool -> pool.membership().drain(endpointId));
    }

    /** Restores an endpoint that {@link #drainEndpoint} has drained; returns false if no pool has it. */
    public boolean restoreEndpoint(String endpointId) {
        return pools.applyToAll(pool -> pool.membership().restore(endpointId));
    }

    /** Returns the state that a successor starts from, by pool name, for all pools but the site's. */
    public Map<String, HandoverState> handoverState() {
        Map<String, HandoverState> states = new LinkedHashMap<>();
        pools.pools().forEach(pool -> states.put(pool.name(), pool.handoverState()));
        return states;
    }

    /**
     * Restores the pools from a predecessor's {@link #handoverState}. Pools that this process doesn't have are skipped.
     *
     * @throws HandoverFormatException if the state of a pool cannot be read; the pools before it are restored
     */
    public void restore(HandoverDocument document) throws HandoverFormatException {
        for (String name : document.poolNames()) {
            UpstreamPool pool = pools.get(name);
            if (pool != null) {
                document.pool(name, pool.settings()).ifPresent(pool::restore);
            }
        }
        updatePoolSizes();
    }

    /** Sets the fraction of the balancer's slow-start traffic that this process may send, for each pool. */
    public void setSlowStartFraction(double fraction) {
        pools.setSlowStartFraction(fraction);
    }

    /** Returns the number of removed pools that still have open requests. */
    public int drainingPools() {
        return pools.drainingCount();
    }

    /** Returns how many times an operator file has replaced another. */
    public long replacements() {
        return replacements;
    }

    /** Returns the router in use. */
    public RequestRouter router() {
        return router;
    }

    /** Runs {@code listener} on the event loop once no pool but the site's has an open request. */
    public void whenIdle(Runnable listener) {
        pools.whenIdle(listener);
    }

    /** Returns what the pools and the router have done since the start, as text for the log. */
    public String summary() {
        String poolSummaries = pools.pools().stream()
                .map(pool -> "; pool " + pool.name() + ": " + pool.dispatcher().summary())
                .collect(Collectors.joining());
        return poolSummaries + "; requests rejected by the router: " + rejections.total() + ", operator files applied: "
                + (replacements + 1);
    }
}
