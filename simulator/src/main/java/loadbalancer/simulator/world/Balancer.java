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
    private static final int REMEMBERED = 512;

    final int rank;
    final int zone;
    final int incarnation;
    final SimulatedDiscovery.Subscriber subscriber;
    private final World world;
    private final LoadBalancingPolicy policy;
    private final Map<String, BalancerRequest> taken = new HashMap<>();
    private final Map<Upstream, IdleConnections> links = new HashMap<>();
    private final Map<String, Endpoint> list = new HashMap<>();
    private final Map<String, EndpointState> outByOperators = new HashMap<>();
    // The latest that are over: a second answer to one of these is told from one to what never was.
    private final Map<String, BalancerRequest> over = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, BalancerRequest> eldest) {
            return size() > REMEMBERED;
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
    public long deemedTold(String id) {
        return subscriber.deemedTold(
                world.register.endListedAt(id), world.plan.rules().pollIntervalMicros());
    }

    boolean alive() {
        return alive;
    }

    LoadBalancingPolicy policy() {
        return policy;
    }

    int open() {
        return taken.size();
    }

    // ---- events

    void begin(List<Endpoint> known, long now) {
        known.forEach(s -> list.put(s.id(), s));
        world.judge.told(this, EndpointListKind.CACHED, known, now);
        policy.endpoints(now, EndpointListKind.CACHED, known, this);
    }

    void news(EndpointListKind kind, List<Endpoint> servers, long now) {
        if (!alive) {
            return;
        }
        if (kind == EndpointListKind.SNAPSHOT) {
            list.clear();
        }
        List<Endpoint> laid = new ArrayList<>(servers.size());
        for (Endpoint s : servers) {
            list.put(s.id(), s);
            laid.add(
                    outByOperators.containsKey(s.id()) && s.state() == EndpointState.UP
                            ? s.withState(EndpointState.DRAINING)
                            : s);
        }
        if (kind != EndpointListKind.UNAVAILABLE) {
            world.judge.told(this, kind, laid, now);
        }
        policy.endpoints(now, kind, laid, this);
    }

    /** An operator takes an upstream out, or puts it back as freshly started. */
    void operator(String id, boolean out, long now) {
        Endpoint s = list.get(id);
        if (!alive || s == null) {
            return;
        }
        if (out) {
            outByOperators.put(id, EndpointState.DRAINING);
        } else {
            outByOperators.remove(id);
        }
        Endpoint laid = out ? s.withState(EndpointState.DRAINING) : s.withStartedAt(now);
        world.judge.told(this, EndpointListKind.LOCAL_OVERRIDE, List.of(laid), now);
        policy.endpoints(now, EndpointListKind.LOCAL_OVERRIDE, List.of(laid), this);
    }

    void take(BalancerRequest t, long patience, boolean marked, long now) {
        taken.put(t.id(), t);
        world.judge.taken(t, now);
        t.overdue = world.simulation.timer(
                t.deadline() + world.plan.rules().responseSlackMicros() + 1, at -> overdue(t, at));
        ClientRequest c = t.client();
        policy.request(
                now,
                t.id(),
                c.kind,
                c.tenant,
                c.key < 0 ? null : Integer.toHexString(c.key),
                patience,
                -1,
                marked,
                this);
    }

    private void overdue(BalancerRequest t, long now) {
        if (alive && !t.answered && !t.gone) {
            world.judge.overdue(t, now);
            t.gone = true;
            world.clients.tryEnded(t, Clients.End.SILENT, 0, now);
            policy.clientGone(now, t.id(), this);
            forget(t);
        }
    }

    void clientLeft(BalancerRequest t, long now) {
        if (alive && !t.answered && !t.gone) {
            t.gone = true;
            t.step(now, "the client left");
            t.overdue.cancel();
            policy.clientGone(now, t.id(), this);
            forget(t);
        }
    }

    /** The outcome of an attempt has come. */
    void outcome(Attempt a, AttemptOutcome outcome, long now) {
        if (!alive || !a.out()) {
            return;
        }
        BalancerRequest t = a.taken();
        if (a.timeout != null) {
            a.timeout.cancel();
        }
        a.ended(outcome);
        t.out--;
        t.step(now, "attempt " + a.number() + " " + outcome);
        world.judge.outcome(a, outcome, now);
        boolean keeps =
                outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.FULL;
        if (keeps && a.upstream.alive()) {
            links.computeIfAbsent(a.upstream, u -> new IdleConnections()).rest(now);
        } else if (outcome != AttemptOutcome.NOT_SENT && outcome != AttemptOutcome.CONNECT_FAILED) {
            a.upstream.connected(-1);
        }
        if (outcome == AttemptOutcome.OK && !t.answered && !t.gone) {
            answer(t, Clients.End.SERVED, 0, now);
        }
        policy.outcome(now, t.id(), a.number(), outcome, now - a.sentAt(), t.answered || t.gone, null, this);
        forget(t);
    }

    private void forget(BalancerRequest t) {
        if ((t.answered || t.gone) && t.out == 0) {
            taken.remove(t.id());
            over.put(t.id(), t);
        }
    }

    private void answer(BalancerRequest t, Clients.End end, long retryAfter, long now) {
        t.answered = true;
        t.overdue.cancel();
        t.step(now, "answered " + end);
        world.judge.answered(t, end, retryAfter, now);
        world.clients.tryEnded(t, end, retryAfter, now);
    }

    /** The process dies: what it holds is its clients' to repeat. */
    void die(long now) {
        alive = false;
        subscriber.end();
        for (BalancerRequest t : List.copyOf(taken.values())) {
            for (Attempt a : t.attempts) {
                if (a.out()) {
                    if (a.timeout != null) {
                        a.timeout.cancel();
                    }
                    a.upstream.connected(-1);
                    a.upstream.abandon(a);
                    a.ended(AttemptOutcome.CANCELLED);
                }
            }
            t.overdue.cancel();
            if (!t.answered && !t.gone) {
                t.gone = true;
                world.clients.tryEnded(t, Clients.End.CUT, 0, now);
            }
        }
        taken.clear();
        links.forEach((u, l) -> l.closeAll(u));
        links.clear();
    }

    /** All connections to that process have broken. */
    void broken(Upstream upstream) {
        links.remove(upstream);
    }

    /** Closes what has rested too long; called now and then, not with each send. */
    void tidy(long now) {
        links.forEach((u, l) -> l.expire(u, now, world.plan.fleet().idle()));
    }

    // ---- what the module asks for

    @Override
    public void send(String request, String server, long timeout) {
        long now = world.simulation.now();
        BalancerRequest t = taken.get(request);
        Upstream u = world.at(server);
        if (t == null || u == null || !list.containsKey(server)) {
            world.judge.malformed(
                    this,
                    "send of " + request + " to " + server
                            + (t == null ? ": no such request is open" : ": never listed"),
                    t,
                    now);
            return;
        }
        Attempt a = new Attempt(t, t.attempts.size(), server, u, now);
        t.step(now, "sent to " + server + " as attempt " + a.number());
        world.judge.sending(a, now);
        t.attempts.add(a);
        t.out++;
        long left = t.deadline() - now;
        if (t.answered
                || t.gone
                || left <= 0
                || a.number() >= world.plan.rules().maxAttempts()) {
            world.simulation.after(0, at -> outcome(a, AttemptOutcome.NOT_SENT, at));
            return;
        }
        a.timeout = world.simulation.timer(now + (timeout == 0 ? left : Math.max(0, Math.min(timeout, left))), at -> {
            u.abandon(a);
            outcome(a, AttemptOutcome.TIMEOUT, at);
        });
        IdleConnections l = links.computeIfAbsent(u, x -> new IdleConnections());
        boolean fresh = !l.take(u, now, world.plan.fleet().idle());
        world.carry(a, fresh, now);
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
        BalancerRequest t = taken.getOrDefault(request, over.get(request));
        if (t == null) {
            world.judge.malformed(this, end + " of " + request + ": no such request was taken", null, now);
            return;
        }
        if (t.answered) {
            world.judge.answeredTwice(t, end, now);
        } else if (!t.gone) {
            answer(t, end, retryAfter, now);
            forget(t);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        BalancerRequest t = taken.get(request);
        if (t == null || attempt < 0 || attempt >= t.attempts.size()) {
            world.judge.malformed(
                    this, "cancel of " + request + "/" + attempt + ": never sent", t, world.simulation.now());
            return;
        }
        Attempt a = t.attempts.get(attempt);
        if (a.out()) {
            a.upstream.abandon(a);
            world.simulation.after(0, at -> outcome(a, AttemptOutcome.CANCELLED, at));
        }
    }

    @Override
    public void probe(String server) {
        Upstream u = world.at(server);
        if (u != null) {
            world.probe(this, server, u, world.simulation.now());
        }
    }

    void probed(String server, AttemptOutcome outcome, long latency, long now) {
        if (alive) {
            policy.probed(now, server, outcome, latency, null, this);
        }
    }

    @Override
    public void watch(boolean on) {
        if (on) {
            world.register.call(subscriber, true);
        } else {
            subscriber.end();
        }
    }

    @Override
    public void fetchList() {
        world.register.call(subscriber, false);
    }

    @Override
    public void closeIdle(String server) {
        Upstream u = world.at(server);
        IdleConnections l = u == null ? null : links.get(u);
        if (l != null) {
            l.closeAll(u);
        }
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        world.judge.malformed(this, "a message to a peer: none are carried here", null, world.simulation.now());
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
