package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.LoadBalancingPolicy;

/**
 * One process of a balancer: carries out what its module asks for, on the simulated network. It decides nothing.
 * A restarted balancer is a new object.
 */
public final class Balancer implements LoadBalancingPolicy.Actions {
    private static final int MAX_FINISHED_REQUESTS = 512;

    final int rank;
    final int zone;
    final int incarnation;
    final SimulatedDiscovery.Subscriber subscriber;
    private final World world;
    private final LoadBalancingPolicy policy;
    private final Map<String, BalancerRequest> requests = new HashMap<>();
    private final Map<Upstream, IdleConnections> idleConnections = new HashMap<>();
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Map<String, EndpointState> operatorDrained = new HashMap<>();
    // The latest that are over: a second answer to one of these is told from one to what never was.
    private final Map<String, BalancerRequest> finishedRequests = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, BalancerRequest> eldest) {
            return size() > MAX_FINISHED_REQUESTS;
        }
    };
    private boolean alive = true;

    Balancer(World world, int rank, int zone, int incarnation, LoadBalancingPolicy policy) {
        this.world = world;
        this.rank = rank;
        this.zone = zone;
        this.incarnation = incarnation;
        this.policy = policy;
        this.subscriber = new SimulatedDiscovery.Subscriber(this);
    }

    /** Its number among all, from 0. */
    public int rank() {
        return rank;
    }

    /** Which process of that balancer it is, from 0. */
    public int incarnation() {
        return incarnation;
    }

    /** When it counts as told that the upstream drains or is gone, whatever reached it; or the largest long. */
    public long deemedNotifiedAt(String id) {
        return subscriber.deemedNotifiedAt(
                world.discovery.endListedAt(id), world.plan.rules().pollIntervalMicros());
    }

    boolean alive() {
        return alive;
    }

    LoadBalancingPolicy policy() {
        return policy;
    }

    int open() {
        return requests.size();
    }

    // ---- events

    void start(List<Endpoint> known, long now) {
        known.forEach(s -> endpoints.put(s.id(), s));
        world.observer.endpointsNotified(this, EndpointListKind.CACHED, known, now);
        policy.endpoints(now, EndpointListKind.CACHED, known, this);
    }

    void endpointsChanged(EndpointListKind kind, List<Endpoint> servers, long now) {
        if (!alive) {
            return;
        }
        if (kind == EndpointListKind.SNAPSHOT) {
            endpoints.clear();
        }
        List<Endpoint> effective = new ArrayList<>(servers.size());
        for (Endpoint s : servers) {
            endpoints.put(s.id(), s);
            effective.add(
                    operatorDrained.containsKey(s.id()) && s.state() == EndpointState.UP
                            ? s.withState(EndpointState.DRAINING)
                            : s);
        }
        if (kind != EndpointListKind.UNAVAILABLE) {
            world.observer.endpointsNotified(this, kind, effective, now);
        }
        policy.endpoints(now, kind, effective, this);
    }

    /** An operator takes an upstream out, or puts it back as freshly started. */
    void setOperatorDrained(String id, boolean out, long now) {
        Endpoint s = endpoints.get(id);
        if (!alive || s == null) {
            return;
        }
        if (out) {
            operatorDrained.put(id, EndpointState.DRAINING);
        } else {
            operatorDrained.remove(id);
        }
        Endpoint effective = out ? s.withState(EndpointState.DRAINING) : s.withStartedAt(now);
        world.observer.endpointsNotified(this, EndpointListKind.LOCAL_OVERRIDE, List.of(effective), now);
        policy.endpoints(now, EndpointListKind.LOCAL_OVERRIDE, List.of(effective), this);
    }

    void accept(BalancerRequest t, long timeLeftMicros, boolean clientRetry, long now) {
        requests.put(t.id(), t);
        world.observer.requestAccepted(t, now);
        t.deadlineTimer = world.simulation.timer(
                t.deadline() + world.plan.rules().responseSlackMicros() + 1, at -> deadlinePassed(t, at));
        ClientRequest c = t.clientRequest();
        policy.request(
                now,
                t.id(),
                c.kind,
                c.tenant,
                c.key < 0 ? null : Integer.toHexString(c.key),
                timeLeftMicros,
                -1,
                clientRetry,
                this);
    }

    private void deadlinePassed(BalancerRequest t, long now) {
        if (alive && !t.answered && !t.clientGone) {
            world.observer.deadlineMissed(t, now);
            t.clientGone = true;
            world.clients.attemptEnded(t, Clients.End.SILENT, 0, now);
            policy.clientGone(now, t.id(), this);
            releaseIfFinished(t);
        }
    }

    void abandon(BalancerRequest t, long now) {
        if (alive && !t.answered && !t.clientGone) {
            t.clientGone = true;
            t.step(now, "the client left");
            t.deadlineTimer.cancel();
            policy.clientGone(now, t.id(), this);
            releaseIfFinished(t);
        }
    }

    /** The outcome of an attempt has come. */
    void outcome(Attempt a, AttemptOutcome outcome, long now) {
        if (!alive || !a.inFlight()) {
            return;
        }
        BalancerRequest t = a.request();
        if (a.timeout != null) {
            a.timeout.cancel();
        }
        a.markEnded(outcome);
        t.attemptsInFlight--;
        t.step(now, "attempt " + a.number() + " " + outcome);
        world.observer.attemptEnded(a, outcome, now);
        boolean reusable =
                outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.FULL;
        if (reusable && a.upstream.alive()) {
            idleConnections
                    .computeIfAbsent(a.upstream, u -> new IdleConnections())
                    .release(now);
        } else if (outcome != AttemptOutcome.NOT_SENT && outcome != AttemptOutcome.CONNECT_FAILED) {
            a.upstream.connected(-1);
        }
        if (outcome == AttemptOutcome.OK && !t.answered && !t.clientGone) {
            answer(t, Clients.End.SERVED, 0, now);
        }
        policy.outcome(now, t.id(), a.number(), outcome, now - a.sentAt(), t.answered || t.clientGone, null, this);
        releaseIfFinished(t);
    }

    private void releaseIfFinished(BalancerRequest t) {
        if ((t.answered || t.clientGone) && t.attemptsInFlight == 0) {
            requests.remove(t.id());
            finishedRequests.put(t.id(), t);
        }
    }

    private void answer(BalancerRequest t, Clients.End end, long retryAfter, long now) {
        t.answered = true;
        t.deadlineTimer.cancel();
        t.step(now, "answered " + end);
        world.observer.requestAnswered(t, end, retryAfter, now);
        world.clients.attemptEnded(t, end, retryAfter, now);
    }

    /** The process dies: what it holds is its clients' to repeat. */
    void kill(long now) {
        alive = false;
        subscriber.end();
        for (BalancerRequest t : List.copyOf(requests.values())) {
            for (Attempt a : t.attempts) {
                if (a.inFlight()) {
                    if (a.timeout != null) {
                        a.timeout.cancel();
                    }
                    a.upstream.connected(-1);
                    a.upstream.abandon(a);
                    a.markEnded(AttemptOutcome.CANCELLED);
                }
            }
            t.deadlineTimer.cancel();
            if (!t.answered && !t.clientGone) {
                t.clientGone = true;
                world.clients.attemptEnded(t, Clients.End.CUT, 0, now);
            }
        }
        requests.clear();
        idleConnections.forEach((u, l) -> l.closeAll(u));
        idleConnections.clear();
    }

    /** All connections to that process have broken. */
    void connectionsLost(Upstream upstream) {
        idleConnections.remove(upstream);
    }

    /** Closes what has rested too long; called now and then, not with each send. */
    void closeExpiredConnections(long now) {
        idleConnections.forEach((u, l) -> l.expire(u, now, world.plan.fleet().idleTimeoutMicros()));
    }

    // ---- what the module asks for

    @Override
    public void send(String request, String server, long timeout) {
        long now = world.simulation.now();
        BalancerRequest t = requests.get(request);
        Upstream u = world.currentUpstream(server);
        if (t == null || u == null || !endpoints.containsKey(server)) {
            world.observer.invalidAction(
                    this,
                    "send of " + request + " to " + server
                            + (t == null ? ": no such request is open" : ": never listed"),
                    t,
                    now);
            return;
        }
        Attempt a = new Attempt(t, t.attempts.size(), server, u, now);
        t.step(now, "sent to " + server + " as attempt " + a.number());
        world.observer.attemptStarting(a, now);
        t.attempts.add(a);
        t.attemptsInFlight++;
        long left = t.deadline() - now;
        if (t.answered
                || t.clientGone
                || left <= 0
                || a.number() >= world.plan.rules().maxAttempts()) {
            world.simulation.after(0, at -> outcome(a, AttemptOutcome.NOT_SENT, at));
            return;
        }
        a.timeout = world.simulation.timer(now + (timeout == 0 ? left : Math.max(0, Math.min(timeout, left))), at -> {
            u.abandon(a);
            outcome(a, AttemptOutcome.TIMEOUT, at);
        });
        IdleConnections l = idleConnections.computeIfAbsent(u, x -> new IdleConnections());
        boolean newConnection = !l.take(u, now, world.plan.fleet().idleTimeoutMicros());
        world.deliver(a, newConnection, now);
    }

    @Override
    public void reject(String request, long retryAfter) {
        close(request, Clients.End.REFUSED, retryAfter);
    }

    @Override
    public void fail(String request) {
        close(request, Clients.End.FAILED, 0);
    }

    private void close(String request, Clients.End end, long retryAfter) {
        long now = world.simulation.now();
        BalancerRequest t = requests.getOrDefault(request, finishedRequests.get(request));
        if (t == null) {
            world.observer.invalidAction(this, end + " of " + request + ": no such request was taken", null, now);
            return;
        }
        if (t.answered) {
            world.observer.answeredTwice(t, end, now);
        } else if (!t.clientGone) {
            answer(t, end, retryAfter, now);
            releaseIfFinished(t);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        BalancerRequest t = requests.get(request);
        if (t == null || attempt < 0 || attempt >= t.attempts.size()) {
            world.observer.invalidAction(
                    this, "cancel of " + request + "/" + attempt + ": never sent", t, world.simulation.now());
            return;
        }
        Attempt a = t.attempts.get(attempt);
        if (a.inFlight()) {
            a.upstream.abandon(a);
            world.simulation.after(0, at -> outcome(a, AttemptOutcome.CANCELLED, at));
        }
    }

    @Override
    public void probe(String server) {
        Upstream u = world.currentUpstream(server);
        if (u != null) {
            world.probe(this, server, u, world.simulation.now());
        }
    }

    void probeEnded(String server, AttemptOutcome outcome, long latency, long now) {
        if (alive) {
            policy.probed(now, server, outcome, latency, null, this);
        }
    }

    @Override
    public void watch(boolean on) {
        if (on) {
            world.discovery.call(subscriber, true);
        } else {
            subscriber.end();
        }
    }

    @Override
    public void fetchList() {
        world.discovery.call(subscriber, false);
    }

    @Override
    public void closeIdle(String server) {
        Upstream u = world.currentUpstream(server);
        IdleConnections l = u == null ? null : idleConnections.get(u);
        if (l != null) {
            l.closeAll(u);
        }
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        world.observer.invalidAction(this, "a message to a peer: none are carried here", null, world.simulation.now());
    }

    @Override
    public void wakeAfter(long delay) {
        world.simulation.after(Math.max(0, delay), now -> {
            if (alive) {
                policy.wake(now, this);
            }
        });
    }

    @Override
    public void log(String line) {
        world.log(rank, line);
    }
}
