package loadbalancer.simulator.variants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.LoadReport;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.SafetyBounds;
import loadbalancer.simulator.engine.RandomStream;
import loadbalancer.simulator.policies.Chooser;
import loadbalancer.simulator.policies.ServerView;
import loadbalancer.simulator.world.GroundTruth;

/**
 * A textbook policy made into a whole policy: the chooser picks among the listed servers by this balancer's own
 * attempts in flight; a request is retried where its class allows, at another server, while attempts are left.
 * It neither sheds load nor detects outliers. Servers in slow start get a part of the traffic by the rules' slow-start
 * weight, or textbook policies would overload each of them.
 */
final class TextbookPolicy implements LoadBalancingPolicy {
    private static final int COLD_DRAWS = 4;
    private static final long WAKE = 1_000_000;

    private static final class Server {
        final Endpoint entry;
        int inFlight;

        Server(Endpoint entry) {
            this.entry = entry;
        }
    }

    private static final class Open {
        final int kind;
        final long deadline;
        final List<Server> tried = new ArrayList<>(2);
        boolean mayHaveRun;

        Open(int kind, long deadline) {
            this.kind = kind;
            this.deadline = deadline;
        }
    }

    private final PolicySettings settings;
    private final Chooser chooser;
    private final RandomStream random;
    private final GroundTruth truth;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<String, Open> open = new HashMap<>();
    private List<Server> up = List.of();
    private final View view = new View();
    private long askAt = Long.MAX_VALUE;
    private boolean waking;

    TextbookPolicy(PolicySettings settings, Chooser chooser, RandomStream random, GroundTruth truth) {
        this.settings = settings;
        this.chooser = chooser;
        this.random = random;
        this.truth = truth;
    }

    /** Id of a server by its number in the view. */
    String idAt(int server) {
        return up.get(server).entry.id();
    }

    private final class View implements ServerView {
        @Override
        public int size() {
            return up.size();
        }

        @Override
        public int queue(int server) {
            return up.get(server).inFlight;
        }

        @Override
        public double rate(int server) {
            return truth.nominalCapacity(up.get(server).entry.id());
        }

        @Override
        public boolean fast(int server) {
            return truth.isFast(up.get(server).entry.id());
        }
    }

    @Override
    public void endpoints(long now, EndpointListKind kind, List<Endpoint> list, Actions out) {
        if (kind == EndpointListKind.UNAVAILABLE) {
            askAt = now + 500_000 + random.below(500_000);
        } else if (kind == EndpointListKind.CACHED) {
            ask(now, out);
        } else if (kind != EndpointListKind.LOCAL_OVERRIDE) {
            askAt = Long.MAX_VALUE;
        }
        if (!waking) {
            waking = true;
            out.wakeAfter(WAKE);
        }
        if (kind == EndpointListKind.UNAVAILABLE) {
            return;
        }
        List<Server> before = up;
        if (kind == EndpointListKind.SNAPSHOT) {
            servers.keySet().retainAll(list.stream().map(Endpoint::id).toList());
        }
        for (Endpoint endpoint : list) {
            Server known = servers.get(endpoint.id());
            Server next = new Server(endpoint);
            if (known != null && known.entry.startedAt() == endpoint.startedAt()) {
                next.inFlight = known.inFlight;
            }
            servers.put(endpoint.id(), next);
        }
        up = servers.values().stream()
                .filter(s -> s.entry.state() == EndpointState.UP)
                .toList();
        Map<String, Integer> places = new HashMap<>();
        for (int i = 0; i < before.size(); i++) {
            places.put(before.get(i).entry.id(), i);
        }
        chooser.renumber(
                up.stream().mapToInt(s -> places.getOrDefault(s.entry.id(), -1)).toArray());
    }

    private void ask(long now, Actions out) {
        if (settings.discovery() == DiscoveryMode.POLL) {
            askAt = now + settings.bounds().pollIntervalMicros() / 2;
            out.watch(true);
        }
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
            Actions out) {
        Open request = new Open(kind, now + timeLeft);
        open.put(id, request);
        send(id, request, now, out);
    }

    private void send(String id, Open open, long now, Actions out) {
        if (up.isEmpty()) {
            finish(id, open, out);
            return;
        }
        int chosen = -1;
        for (int i = 0; i < COLD_DRAWS; i++) {
            chosen = chooser.choose(view, random);
            Server server = up.get(chosen);
            boolean again = up.size() > 1 && open.tried.contains(server);
            if (!again && random.uniform() < promisedWarmth(server.entry, now)) {
                break;
            }
            chosen = -1;
        }
        if (chosen < 0) {
            chosen = warmest(now);
        }
        chooser.dispatched(chosen);
        Server server = up.get(chosen);
        server.inFlight++;
        open.tried.add(server);
        out.send(id, server.entry.id(), 0);
    }

    private int warmest(long now) {
        int from = random.below(up.size());
        for (int i = 0; i < up.size(); i++) {
            int at = (from + i) % up.size();
            if (promisedWarmth(up.get(at).entry, now) >= 1) {
                return at;
            }
        }
        return from;
    }

    private double promisedWarmth(Endpoint endpoint, long now) {
        SafetyBounds bounds = settings.bounds();
        long age = now - endpoint.startedAt();
        if (endpoint.startedAt() <= 0 || age >= bounds.slowStartDurationMicros()) {
            return 1;
        }
        return bounds.slowStartInitialWeight() * Math.max(0.1, age / (double) bounds.slowStartDurationMicros());
    }

    private void finish(String id, Open request, Actions out) {
        open.remove(id);
        boolean harmless =
                !request.mayHaveRun || settings.classes().get(request.kind).idempotency() == Idempotency.IDEMPOTENT;
        if (harmless) {
            out.reject(id, 0);
        } else {
            out.fail(id);
        }
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
            Actions out) {
        Open request = open.get(id);
        if (request == null || attempt >= request.tried.size()) {
            return;
        }
        Server server = request.tried.get(attempt);
        server.inFlight = Math.max(0, server.inFlight - 1);
        Server listed = servers.get(server.entry.id());
        if (listed != null && listed != server && listed.entry.startedAt() == server.entry.startedAt()) {
            listed.inFlight = Math.max(0, listed.inFlight - 1);
        }
        request.mayHaveRun |= !outcome.neverRan();
        if (closed) {
            open.remove(id);
            return;
        }
        boolean may =
                outcome.neverRan() || settings.classes().get(request.kind).idempotency() == Idempotency.IDEMPOTENT;
        if (may
                && outcome != AttemptOutcome.NOT_SENT
                && now < request.deadline
                && request.tried.size() < settings.limits().maxAttempts()) {
            send(id, request, now, out);
        } else {
            finish(id, request, out);
        }
    }

    @Override
    public void clientGone(long now, String id, Actions out) {
        Open request = open.remove(id);
        if (request != null && !request.tried.isEmpty()) {
            Server server = request.tried.get(request.tried.size() - 1);
            server.inFlight = Math.max(0, server.inFlight - 1);
            if (settings.limits().cancellationAllowed()) {
                out.cancel(id, request.tried.size() - 1);
            }
        }
    }

    @Override
    public void streamStarted(long now, String id, int attempt, Actions out) {}

    @Override
    public void probed(long now, String server, AttemptOutcome outcome, long latency, LoadReport load, Actions out) {}

    @Override
    public void wake(long now, Actions out) {
        if (now >= askAt) {
            ask(now, out);
        }
        out.wakeAfter(WAKE);
    }
}
