package loadbalancer.routing;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import loadbalancer.discovery.Membership;
import loadbalancer.dispatch.ClientResponder;
import loadbalancer.dispatch.RequestDispatcher;
import loadbalancer.dispatch.RequestHandler;
import loadbalancer.logs.Log;
import loadbalancer.operator.OperatorConfig;
import loadbalancer.operator.PoolSpec;
import loadbalancer.policy.RequestClass;
import loadbalancer.process.HandoverState;
import loadbalancer.router.RequestRouter;
import loadbalancer.routes.PathTemplate;
import loadbalancer.routes.Route;
import loadbalancer.settings.SettingsReader;
import loadbalancer.transport.BodyLimits;
import loadbalancer.transport.HeaderNames;
import loadbalancer.transport.InboundRequest;
import loadbalancer.transport.UpstreamResponse;

/**
 * The front on sockets: hands each request to the dispatcher of the pool that {@link RequestRouter} names, and
 * refuses what
 * that refuses. It decides nothing. All of it runs on the event loop's thread; it is there only with an operator file.
 */
public final class RoutingGateway implements RequestHandler {
    private static final long LOOK_MS = 100; // between looks at how many upstreams each pool has
    private static final Runnable NOTHING = () -> {};

    /** The pool that the platform lists, which is there in any case. */
    public record Site(RequestDispatcher dispatcher, Membership membership) {}

    private final EventLoop loop;
    private final Site site;
    private final UpstreamPool.Ground ground;
    private final int connections;
    private final long memory;
    private final Log log;
    private final SplittableRandom random;
    private final Map<String, UpstreamPool> pools = new LinkedHashMap<>();
    private final Set<UpstreamPool> draining = new LinkedHashSet<>();
    private final PoolConnectionBudget siteBudget;
    private final Map<RequestRouter.Reason, Long> refusals = new EnumMap<>(RequestRouter.Reason.class);
    private OperatorConfig operator;
    private RequestRouter front;
    private SettingsReader.Boot boot;
    private List<String> headers = List.of();
    private double[] ranks = new double[0];
    private long swaps;
    private double shared = 1;

    /**
     * A gateway before the site's own pool alone, until {@link #operate} is called.
     *
     * @param connections to upstreams that all pools may open together
     * @param memory bytes of bodies that all pools may hold together
     */
    public RoutingGateway(
            Site site, UpstreamPool.Ground ground, SettingsReader.Boot boot, int connections, long memory) {
        this.loop = ground.loop();
        this.site = site;
        this.ground = ground;
        this.boot = boot;
        this.connections = connections;
        this.memory = memory;
        this.log = ground.log();
        this.random = new SplittableRandom(ground.seed());
        this.siteBudget = new PoolConnectionBudget(ground.connections(), Integer.MAX_VALUE, Long.MAX_VALUE);
    }

    /** Goes by that file from here on: what has the same name goes on, what is gone drains first. */
    public void operate(OperatorConfig next) {
        boolean first = operator == null;
        operator = next;
        int parts = next.pools().size();
        Set<String> named = new LinkedHashSet<>();
        for (PoolSpec spec : next.pools()) {
            named.add(spec.name());
            int most = spec.connections() > 0 ? spec.connections() : Math.max(1, connections / parts);
            long bytes = spec.memory() > 0 ? spec.memory() : Math.max(BodyLimits.MAX_BUFFERED_BYTES, memory / parts);
            if (spec.name().equals(PoolSpec.SITE)) {
                siteBudget.set(Integer.MAX_VALUE, bytes);
                continue;
            }
            UpstreamPool pool = pools.get(spec.name());
            if (pool != null && pool.becomes(spec)) {
                pool.budget().set(most, bytes);
                pool.become(spec, boot);
            } else {
                if (pool != null) {
                    drain(pool);
                }
                UpstreamPool fresh = new UpstreamPool(
                        ground, spec, boot, new PoolConnectionBudget(ground.connections(), most, bytes));
                pools.put(spec.name(), fresh);
                fresh.start();
                fresh.dispatcher().setSlowStartFraction(shared);
            }
        }
        for (UpstreamPool pool : List.copyOf(pools.values())) {
            if (!named.contains(pool.name())) {
                drain(pool);
            }
        }
        RequestRouter fresh = new RequestRouter(next.front());
        if (front != null) {
            fresh.restore(front);
            swaps++;
        }
        front = fresh;
        Set<String> wanted = new LinkedHashSet<>();
        front.table().routes().forEach(r -> wanted.addAll(r.headers().keySet()));
        headers = List.copyOf(wanted);
        rank();
        look();
        if (first) {
            loop.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The site's settings have changed. */
    public void reconfigure(SettingsReader.Boot next) {
        boot = next;
        pools.values().forEach(p -> p.become(p.spec(), next));
        rank();
    }

    private void rank() {
        List<RequestClass> classes = boot.settings().classes();
        double least =
                classes.stream().mapToDouble(RequestClass::priorityWeight).min().orElse(0);
        double most =
                classes.stream().mapToDouble(RequestClass::priorityWeight).max().orElse(0);
        ranks = classes.stream()
                .mapToDouble(c -> most > least ? (c.priorityWeight() - least) / (most - least) : 1)
                .toArray();
    }

    private void drain(UpstreamPool pool) {
        pools.remove(pool.name());
        draining.add(pool);
        pool.drain(() -> {
            draining.remove(pool);
            log.event(
                    "pool " + pool.name() + " has drained and is closed: "
                            + pool.dispatcher().summary(),
                    "pool",
                    pool.name(),
                    "drained",
                    true);
        });
    }

    /** Tells the front how many upstreams each pool has. */
    public void look() {
        long now = site.dispatcher.nowMicros();
        front.listed(now, PoolSpec.SITE, site.membership.up());
        pools.values().forEach(p -> front.listed(now, p.name(), p.membership().up()));
    }

    // ---- requests

    @Override
    public boolean isOpen(String requestId) {
        if (site.dispatcher.isOpen(requestId)) {
            return true;
        }
        for (UpstreamPool p : pools.values()) {
            if (p.dispatcher().isOpen(requestId)) {
                return true;
            }
        }
        for (UpstreamPool p : draining) {
            if (p.dispatcher().isOpen(requestId)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public Runnable handle(InboundRequest order, ClientResponder reply) {
        long now = site.dispatcher.nowMicros();
        RequestRouter.RoutingDecision v = front.arrive(now, arrival(order));
        if (v.ticket() == null) {
            count(v.reason());
            switch (v.answer()) {
                case NOT_FOUND -> reply.rejectWith(HttpResponseStatus.NOT_FOUND, "no route");
                case BAD_PATH -> reply.rejectWith(HttpResponseStatus.BAD_REQUEST, "a path that can't be routed");
                default -> reply.reject(v.retryAfter());
            }
            return NOTHING;
        }
        UpstreamPool pool = pools.get(v.ticket().pool());
        PoolConnectionBudget budget = pool == null ? siteBudget : pool.budget();
        if (!budget.hold(order.body().length)) {
            count(RequestRouter.Reason.POOL_LIMIT);
            front.ended(now, v.ticket(), RequestRouter.End.UNSENT);
            reply.reject(operator.front().retryAfter().least());
            return NOTHING;
        }
        long most = v.ticket().deadline();
        InboundRequest sent = most > 0 && most < order.timeLeftMicros() ? order.withTimeLeft(most) : order;
        Through through = new Through(reply, v.ticket(), budget, order.body().length);
        Runnable leave = (pool == null ? site.dispatcher : pool.dispatcher()).handle(sent, through);
        return () -> {
            through.over(RequestRouter.End.GONE);
            leave.run();
        };
    }

    private RequestRouter.Arrival arrival(InboundRequest order) {
        Map<String, String> asked = Map.of();
        if (!headers.isEmpty()) {
            asked = new HashMap<>();
            for (String h : headers) {
                String value = order.headers().get(h);
                if (value != null) {
                    asked.put(h, value);
                }
            }
        }
        String tenant = order.headers().get(HeaderNames.TENANT);
        Route.Request request = new Route.Request(
                order.method().name(),
                PathTemplate.split(order.uri()),
                asked,
                tenant,
                boot.classes().get(order.requestClass()));
        return new RequestRouter.Arrival(
                request, order.key(), ranks[order.requestClass()], order.clientRetry(), random.nextDouble());
    }

    // One line for each power of two: a storm is not to fill the log.
    private void count(RequestRouter.Reason reason) {
        long many = refusals.merge(reason, 1L, Long::sum);
        if (Long.bitCount(many) == 1) {
            String name = reason.name().toLowerCase(Locale.ROOT);
            log.event("refused by the front, " + name + ": " + many, "refused", name, "count", many);
        }
    }

    /** The way of a request's one final answer back through the front, which hears how it ended. */
    private final class Through implements ClientResponder {
        private final ClientResponder reply;
        private final RequestRouter.RouteLease ticket;
        private final PoolConnectionBudget budget;
        private final long held;
        private boolean sent;
        private boolean over;

        public Through(ClientResponder reply, RequestRouter.RouteLease ticket, PoolConnectionBudget budget, long held) {
            this.reply = reply;
            this.ticket = ticket;
            this.budget = budget;
            this.held = held;
        }

        public void over(RequestRouter.End end) {
            if (!over) {
                over = true;
                budget.release(held);
                front.ended(site.dispatcher.nowMicros(), ticket, end);
            }
        }

        @Override
        public boolean mayAttempt(int attemptNumber) {
            sent = true;
            return attemptNumber == 0 || front.mayTryAgain(site.dispatcher.nowMicros(), ticket);
        }

        @Override
        public void respond(UpstreamResponse response) {
            over(RequestRouter.End.SERVED);
            reply.respond(response);
        }

        @Override
        public void reject(long retryAfterMicros) {
            over(sent ? RequestRouter.End.FAILED : RequestRouter.End.UNSENT);
            reply.reject(retryAfterMicros);
        }

        @Override
        public void fail() {
            over(RequestRouter.End.FAILED);
            reply.fail();
        }
    }

    // ---- operators

    /** Takes an upstream of any pool out; false where none has it. */
    public boolean setDown(String id) {
        boolean known = false;
        for (UpstreamPool p : pools.values()) {
            known |= p.membership().setDown(id);
        }
        return known;
    }

    /** Puts it back. */
    public boolean setUp(String id) {
        boolean known = false;
        for (UpstreamPool p : pools.values()) {
            known |= p.membership().setUp(id);
        }
        return known;
    }

    /** What a process that goes on in this one's place has to know of the pools beside the site's, by name. */
    public Map<String, Object> state() {
        Map<String, Object> all = new LinkedHashMap<>();
        pools.values().forEach(p -> all.put(p.name(), p.state()));
        return all;
    }

    /** Goes on from that; pools that this process doesn't have are passed over. */
    public void inherit(Map<?, ?> state) {
        state.forEach((name, of) -> {
            UpstreamPool pool = pools.get(String.valueOf(name));
            if (pool != null && of instanceof Map<?, ?> told) {
                pool.inherit(HandoverState.of(told, pool.boot()));
            }
        });
        look();
    }

    /** This process may use that part of what the balancer may send to cold upstreams, in each pool. */
    public void share(double part) {
        shared = part;
        pools.values().forEach(p -> p.dispatcher().setSlowStartFraction(part));
    }

    /** Pools that take nothing more and still have requests open. */
    public int draining() {
        return draining.size();
    }

    public long swaps() {
        return swaps;
    }

    public RequestRouter front() {
        return front;
    }

    /** Runs {@code then} on the loop once no pool beside the site's owes an answer. */
    public void whenIdle(Runnable then) {
        List<RequestDispatcher> all = new ArrayList<>();
        pools.values().forEach(p -> all.add(p.dispatcher()));
        draining.forEach(p -> all.add(p.dispatcher()));
        int[] left = {all.size()};
        if (all.isEmpty()) {
            then.run();
        }
        for (RequestDispatcher d : all) {
            d.whenIdle(() -> {
                if (--left[0] == 0) {
                    then.run();
                }
            });
        }
    }

    /** What it came to, for the log. */
    public String summary() {
        return pools.values().stream()
                        .map(p -> "; pool " + p.name() + ": " + p.dispatcher().summary())
                        .collect(Collectors.joining())
                + "; refused by the front: "
                + refusals.values().stream().mapToLong(n -> n).sum() + ", files taken over: " + (swaps + 1);
    }
}
