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
 * Stands between the clients' side and the pools: hands each request to the dispatcher of the pool that
 * {@link RequestRouter} names, and rejects what the router rejects. It carries decisions out and takes none. It exists
 * only with an operator file.
 *
 * <p>One a process; event loop only.
 */
public final class RoutingGateway implements RequestHandler {
    private static final long POOL_SIZE_INTERVAL_MILLIS = 100;
    private static final Runnable NOTHING_TO_CANCEL = () -> {};

    private final EventLoop loop;
    private final SitePool site;
    private final PoolLimits allPools;
    private final Log log;
    private final SplittableRandom random;
    private final PoolRegistry pools;
    private final PoolMemoryBudget siteMemory = new PoolMemoryBudget(Long.MAX_VALUE);
    private final RejectionCounter rejections;
    private final RoutedReply.Listener replies = new RouterFeedback();
    private OperatorConfig operator;
    private RequestRouter router;
    private BootSettings boot;
    private List<String> routedHeaders = List.of();
    private double[] ranks = new double[0];
    private long replacements;

    /**
     * Creates a gateway that may not be given requests before {@link #configure}.
     *
     * @param maxConnections to upstreams that all pools may open together
     * @param maxBodyBytes bytes of request bodies that all pools may hold together
     */
    public RoutingGateway(
            SitePool site, PoolEnvironment environment, BootSettings boot, int maxConnections, long maxBodyBytes) {
        this.loop = environment.loop();
        this.site = site;
        this.boot = boot;
        this.allPools = new PoolLimits(maxConnections, maxBodyBytes);
        this.log = environment.log();
        this.random = new SplittableRandom(environment.seed());
        this.pools = new PoolRegistry(environment);
        this.rejections = new RejectionCounter(log);
    }

    /** Goes by that operator file from here on: pools and routes keep their state by name, removed pools drain. */
    public void configure(OperatorConfig next) {
        boolean first = operator == null;
        operator = next;
        configurePools(next.pools());
        replaceRouter(new RequestRouter(next.routing()));
        ranks = PriorityRanks.of(boot.policySettings().classes());
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
            PoolLimits limits = PoolLimits.of(spec, specs.size(), allPools);
            if (spec.name().equals(PoolSpec.SITE)) {
                siteMemory.setMaxBytes(limits.maxBodyBytes());
            } else {
                pools.put(spec, boot, limits);
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

    /** The platform's settings have changed. */
    public void reconfigure(BootSettings next) {
        boot = next;
        pools.reconfigure(next);
        ranks = PriorityRanks.of(next.policySettings().classes());
    }

    /** Passes on to the router how many endpoints of each pool may be sent to. */
    public void updatePoolSizes() {
        long now = site.dispatcher().nowMicros();
        router.setEndpointsUp(now, PoolSpec.SITE, site.membership().usableCount());
        pools.pools()
                .forEach(pool -> router.setEndpointsUp(
                        now, pool.name(), pool.membership().usableCount()));
    }

    @Override
    public boolean isOpen(String requestId) {
        return site.dispatcher().isOpen(requestId) || pools.holds(requestId);
    }

    @Override
    public Runnable handle(InboundRequest request, ClientResponder reply) {
        RoutingDecision decision = router.route(site.dispatcher().nowMicros(), routingRequest(request));
        if (decision.lease() == null) {
            reject(decision, reply);
            return NOTHING_TO_CANCEL;
        }
        return dispatch(request, decision.lease(), reply);
    }

    private void reject(RoutingDecision decision, ClientResponder reply) {
        rejections.increment(decision.reason());
        switch (decision.outcome()) {
            case NOT_FOUND -> reply.rejectWith(HttpResponseStatus.NOT_FOUND, "no route");
            case BAD_PATH -> reply.rejectWith(HttpResponseStatus.BAD_REQUEST, "a path that can't be routed");
            default -> reply.reject(decision.retryAfterMicros());
        }
    }

    private Runnable dispatch(InboundRequest request, RouteLease lease, ClientResponder reply) {
        UpstreamPool pool = pools.get(lease.pool());
        PoolMemoryBudget memory = pool == null ? siteMemory : pool.memory();
        long bodyBytes = request.body().length;
        if (!memory.tryReserve(bodyBytes)) {
            rejections.increment(RejectionReason.POOL_LIMIT);
            router.ended(site.dispatcher().nowMicros(), lease, LeaseEnd.NOT_SENT);
            reply.reject(operator.routing().retryAfter().minMicros());
            return NOTHING_TO_CANCEL;
        }
        RoutedReply routedReply = new RoutedReply(reply, lease, memory, bodyBytes, replies);
        RequestDispatcher dispatcher = pool == null ? site.dispatcher() : pool.dispatcher();
        Runnable cancel = dispatcher.handle(withinDeadline(request, lease.deadlineMicros()), routedReply);
        return () -> {
            routedReply.clientGone();
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
                boot.classes().get(request.requestClass()));
        return new RoutingRequest(
                attributes, request.key(), ranks[request.requestClass()], request.clientRetry(), random.nextDouble());
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

    /** Tells the router in use, which may have been replaced since, what becomes of its requests. */
    private final class RouterFeedback implements RoutedReply.Listener {
        @Override
        public boolean allowsRetry(RouteLease lease) {
            return router.allowsRetry(site.dispatcher().nowMicros(), lease);
        }

        @Override
        public void ended(RouteLease lease, LeaseEnd end) {
            router.ended(site.dispatcher().nowMicros(), lease, end);
        }
    }

    /** Drains an endpoint in every pool but the site's; false where none has it. */
    public boolean drainEndpoint(String id) {
        return pools.anyKnows(pool -> pool.membership().drain(id));
    }

    /** Restores an endpoint that {@link #drainEndpoint} has drained; false where no pool has it. */
    public boolean restoreEndpoint(String id) {
        return pools.anyKnows(pool -> pool.membership().restore(id));
    }

    /** The states of the pools beside the site's, by name, as a successor starts from them. */
    public Map<String, HandoverState> handoverState() {
        Map<String, HandoverState> states = new LinkedHashMap<>();
        pools.pools().forEach(pool -> states.put(pool.name(), pool.handoverState()));
        return states;
    }

    /**
     * Goes on from a predecessor's {@link #handoverState}; pools that this process doesn't have are skipped.
     *
     * @throws HandoverFormatException where the state of a pool cannot be read; the pools before it are restored
     */
    public void restore(HandoverDocument document) throws HandoverFormatException {
        for (String name : document.poolNames()) {
            UpstreamPool pool = pools.get(name);
            if (pool != null) {
                document.pool(name, pool.boot()).ifPresent(pool::restore);
            }
        }
        updatePoolSizes();
    }

    /** Sets the fraction of the balancer's slow-start traffic that this process may send, in each pool. */
    public void setSlowStartFraction(double fraction) {
        pools.setSlowStartFraction(fraction);
    }

    /** How many removed pools still owe answers. */
    public int drainingPools() {
        return pools.drainingCount();
    }

    /** How often an operator file has replaced another. */
    public long replacements() {
        return replacements;
    }

    /** The router in use. */
    public RequestRouter router() {
        return router;
    }

    /** Runs {@code then} on the event loop once no pool beside the site's owes an answer. */
    public void whenIdle(Runnable then) {
        pools.whenIdle(then);
    }

    /** What the pools and the router have done since the start, for the log. */
    public String summary() {
        String poolSummaries = pools.pools().stream()
                .map(pool -> "; pool " + pool.name() + ": " + pool.dispatcher().summary())
                .collect(Collectors.joining());
        return poolSummaries + "; rejected by the router: " + rejections.total() + ", operator files applied: "
                + (replacements + 1);
    }
}
