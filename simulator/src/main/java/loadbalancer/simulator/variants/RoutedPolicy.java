package loadbalancer.simulator.variants;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.LearnedState;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.LoadReport;
import loadbalancer.policy.PolicySettings;
import loadbalancer.router.LeaseEnd;
import loadbalancer.router.RequestRouter;
import loadbalancer.router.RouteLease;
import loadbalancer.router.RoutingDecision;
import loadbalancer.router.RoutingRequest;
import loadbalancer.routes.RouteRequest;
import loadbalancer.simulator.engine.RandomStream;

/**
 * A front before several pools, each with a policy of its own, played as one policy: what the balancer does on
 * sockets. The kind of an upstream tells its pool. One policy, the first pool's, speaks with discovery; all hear.
 */
final class RoutedPolicy implements LoadBalancingPolicy {
    /** What the world's numbers stand for. */
    record Names(List<String> classes, List<String> tenants, List<String> kindPools, List<Double> worths) {}

    private record Wake(long at, String pool) {}

    private static final class Open {
        final RouteLease ticket;
        int attempts;

        Open(RouteLease ticket) {
            this.ticket = ticket;
        }
    }

    private static final String[] ROOT = {""};

    private final RoutingSpec.Use use;
    private final PolicySettings settings;
    private final Names names;
    private final RandomStream random;
    private final long begin;
    private final Map<String, LoadBalancingPolicy> policies = new LinkedHashMap<>();
    private final Map<String, Map<String, EndpointState>> states = new HashMap<>();
    private final Map<String, String> poolOf = new HashMap<>();
    private final Map<String, Open> open = new HashMap<>();
    private final List<Wake> wakes = new ArrayList<>();
    private final ArrayDeque<Runnable> later = new ArrayDeque<>();
    private RequestRouter front;
    private int step;
    private Actions out;
    private long time;

    RoutedPolicy(
            RoutingSpec.Use use,
            PolicySettings settings,
            Names names,
            RandomStream random,
            long begin,
            Function<String, LoadBalancingPolicy> policyOfPool) {
        this.use = use;
        this.settings = settings;
        this.names = names;
        this.random = random;
        this.begin = begin;
        for (RoutingSpec.Pool pool : use.spec().pools()) {
            policies.put(pool.name(), policyOfPool.apply(pool.name()));
            states.put(pool.name(), new HashMap<>());
        }
    }

    // ---- the pools' policies ask

    private final class PoolActions implements Actions {
        private final String pool;

        PoolActions(String pool) {
            this.pool = pool;
        }

        @Override
        public void send(String request, String server, long timeout) {
            Open o = open.get(request);
            if (o != null && o.attempts > 0 && !front.allowsRetry(time, o.ticket)) {
                int denied = o.attempts++;
                later.add(() -> policies.get(pool)
                        .outcome(time, request, denied, AttemptOutcome.NOT_SENT, 0, false, null, this));
                return;
            }
            if (o != null) {
                o.attempts++;
            }
            out.send(request, server, timeout);
        }

        @Override
        public void reject(String request, long retryAfter) {
            Open o = open.get(request);
            over(request, o != null && o.attempts > 0 ? LeaseEnd.FAILED : LeaseEnd.NOT_SENT);
            out.reject(request, retryAfter);
        }

        @Override
        public void fail(String request) {
            over(request, LeaseEnd.FAILED);
            out.fail(request);
        }

        @Override
        public void cancel(String request, int attempt) {
            out.cancel(request, attempt);
        }

        @Override
        public void probe(String server) {
            out.probe(server);
        }

        @Override
        public void watch(boolean on) {
            if (first()) {
                out.watch(on);
            }
        }

        @Override
        public void fetchList() {
            if (first()) {
                out.fetchList();
            }
        }

        private boolean first() {
            return pool.equals(use.spec().pools().get(0).name());
        }

        @Override
        public void closeIdle(String server) {
            out.closeIdle(server);
        }

        @Override
        public void sendToPeer(int peer, byte[] data) {
            out.sendToPeer(peer, data);
        }

        @Override
        public void wakeAfter(long delay) {
            wakes.add(new Wake(time + Math.max(0, delay), pool));
            out.wakeAfter(delay);
        }

        @Override
        public void log(String line) {
            out.log(pool + ": " + line);
        }
    }

    private final Map<String, Actions> actions = new HashMap<>();

    private Actions actions(String pool) {
        return actions.computeIfAbsent(pool, PoolActions::new);
    }

    private void over(String request, LeaseEnd end) {
        Open o = open.get(request);
        if (o != null) {
            front.ended(time, o.ticket, end);
        }
    }

    private void begin(long now, Actions to) {
        out = to;
        time = now;
    }

    private void settle() {
        for (Runnable task = later.poll(); task != null; task = later.poll()) {
            task.run();
        }
    }

    // ---- the world tells

    @Override
    public void endpoints(long now, EndpointListKind kind, List<Endpoint> list, Actions to) {
        begin(now, to);
        Map<String, List<Endpoint>> own = new LinkedHashMap<>();
        policies.keySet().forEach(p -> own.put(p, new ArrayList<>()));
        for (Endpoint endpoint : list) {
            String pool = names.kindPools.get(endpoint.machineKind());
            if (own.containsKey(pool)) {
                own.get(pool).add(endpoint);
                poolOf.put(endpoint.id(), pool);
            }
        }
        own.forEach((pool, some) -> {
            Map<String, EndpointState> known = states.get(pool);
            if (kind == EndpointListKind.SNAPSHOT) {
                known.clear();
            }
            some.forEach(s -> known.put(s.id(), s.state()));
        });
        if (front == null) {
            front = new RequestRouter(plan(now));
        }
        own.forEach((pool, some) -> {
            if (kind != EndpointListKind.UNAVAILABLE) {
                front.setEndpointsUp(now, pool, (int) states.get(pool).values().stream()
                        .filter(s -> s == EndpointState.UP)
                        .count());
            }
            if (kind != EndpointListKind.LOCAL_OVERRIDE || !some.isEmpty()) {
                policies.get(pool).endpoints(now, kind, some, actions(pool));
            }
        });
        settle();
    }

    private loadbalancer.router.RoutingConfig plan(long now) {
        Map<String, Integer> sizes = new HashMap<>();
        states.forEach((pool, known) -> sizes.put(pool, known.size()));
        step = use.spec().step(now - begin);
        return use.spec().plan(use, settings, names.classes, names.tenants, sizes, now - begin);
    }

    @Override
    public void request(
            long now,
            String id,
            int kind,
            int tenant,
            String key,
            long timeLeft,
            long work,
            boolean clientRetry,
            Actions to) {
        begin(now, to);
        if (use.spec().step(now - begin) != step) {
            RequestRouter next = new RequestRouter(plan(now));
            next.restore(front);
            front = next;
        }
        List<Double> worths = names.worths;
        double least = worths.stream().mapToDouble(w -> w).min().orElse(1);
        double most = worths.stream().mapToDouble(w -> w).max().orElse(1);
        double rank = most > least ? (worths.get(kind) - least) / (most - least) : 1;
        RoutingDecision v = front.route(
                now,
                new RoutingRequest(
                        new RouteRequest(
                                "GET",
                                ROOT,
                                Map.of(),
                                names.tenants.isEmpty() ? null : names.tenants.get(tenant),
                                names.classes.get(kind)),
                        key,
                        rank,
                        clientRetry,
                        random.uniform()));
        if (v.lease() == null) {
            to.reject(id, v.retryAfterMicros());
            return;
        }
        open.put(id, new Open(v.lease()));
        String pool = v.lease().pool();
        policies.get(pool).request(now, id, kind, tenant, key, timeLeft, work, clientRetry, actions(pool));
        settle();
    }

    @Override
    public void outcome(
            long now,
            String id,
            int attempt,
            AttemptOutcome outcome,
            long latency,
            boolean closed,
            LoadReport load,
            Actions to) {
        begin(now, to);
        Open request = open.get(id);
        if (request == null) {
            return;
        }
        String pool = request.ticket.pool();
        if (outcome == AttemptOutcome.OK) {
            over(id, LeaseEnd.SERVED);
        }
        policies.get(pool).outcome(now, id, attempt, outcome, latency, closed, load, actions(pool));
        settle();
    }

    @Override
    public void streamStarted(long now, String id, int attempt, Actions to) {
        begin(now, to);
        Open request = open.get(id);
        if (request != null) {
            policies.get(request.ticket.pool()).streamStarted(now, id, attempt, actions(request.ticket.pool()));
        }
        settle();
    }

    @Override
    public void clientGone(long now, String id, Actions to) {
        begin(now, to);
        Open o = open.get(id);
        if (o != null) {
            over(id, LeaseEnd.CLIENT_GONE);
            policies.get(o.ticket.pool()).clientGone(now, id, actions(o.ticket.pool()));
        }
        settle();
    }

    @Override
    public void probed(long now, String server, AttemptOutcome outcome, long latency, LoadReport load, Actions to) {
        begin(now, to);
        String pool = poolOf.get(server);
        if (pool != null) {
            policies.get(pool).probed(now, server, outcome, latency, load, actions(pool));
        }
        settle();
    }

    @Override
    public void wake(long now, Actions to) {
        begin(now, to);
        List<String> due = new ArrayList<>();
        for (Iterator<Wake> i = wakes.iterator(); i.hasNext(); ) {
            Wake wake = i.next();
            if (wake.at <= now) {
                due.add(wake.pool);
                i.remove();
            }
        }
        for (String pool : due) {
            policies.get(pool).wake(now, actions(pool));
        }
        settle();
    }

    @Override
    public void reconfigure(long now, PolicySettings next, int[] classes, int[] tenants) {
        policies.values().forEach(m -> m.reconfigure(now, next, classes, tenants));
    }

    @Override
    public LearnedState learnedState(long now) {
        Map<String, LearnedState> pools = new HashMap<>();
        policies.forEach((pool, policy) -> pools.put(pool, policy.learnedState(now)));
        return LearnedState.ofPools(pools);
    }

    @Override
    public void restore(long now, LearnedState learnedState) {
        policies.forEach(
                (pool, policy) -> policy.restore(now, learnedState.pools().getOrDefault(pool, LearnedState.NONE)));
    }

    @Override
    public void setSlowStartBudgetFactor(double factor) {
        policies.values().forEach(m -> m.setSlowStartBudgetFactor(factor));
    }
}
