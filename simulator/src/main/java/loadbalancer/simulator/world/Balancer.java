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
 * One process of a simulated balancer. It performs the actions of its policy on the simulated network and makes no
 * decisions of its own. A restart creates a new object.
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
    // The latest finished requests, to distinguish a second answer to a request from an answer to an unknown one.
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

    /** The balancer's rank among all balancers, from 0. */
    public int rank() {
        return rank;
    }

    /** The number of this process among the processes of its balancer, from 0. */
    public int incarnation() {
        return incarnation;
    }

    /**
     * When this process counts as notified that the upstream drains or is gone, even if no list has reached it;
     * {@link Long#MAX_VALUE} if there is no such time.
     */
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

    int openRequests() {
        return requests.size();
    }

    // ---- events

    void start(List<Endpoint> known, long now) {
        known.forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
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
        for (Endpoint endpoint : servers) {
            endpoints.put(endpoint.id(), endpoint);
            effective.add(
                    operatorDrained.containsKey(endpoint.id()) && endpoint.state() == EndpointState.UP
                            ? endpoint.withState(EndpointState.DRAINING)
                            : endpoint);
        }
        if (kind != EndpointListKind.UNAVAILABLE) {
            world.observer.endpointsNotified(this, kind, effective, now);
        }
        policy.endpoints(now, kind, effective, this);
    }

    /** An operator drains an upstream, or puts it back into service as if it had just started. */
    void setOperatorDrained(String id, boolean drained, long now) {
        Endpoint endpoint = endpoints.get(id);
        if (!alive || endpoint == null) {
            return;
        }
        if (drained) {
            operatorDrained.put(id, EndpointState.DRAINING);
        } else {
            operatorDrained.remove(id);
        }
        Endpoint effective = drained ? endpoint.withState(EndpointState.DRAINING) : endpoint.withStartedAt(now);
        world.observer.endpointsNotified(this, EndpointListKind.LOCAL_OVERRIDE, List.of(effective), now);
        policy.endpoints(now, EndpointListKind.LOCAL_OVERRIDE, List.of(effective), this);
    }

    void accept(BalancerRequest request, long timeLeftMicros, boolean clientRetry, long now) {
        requests.put(request.id(), request);
        world.observer.requestAccepted(request, now);
        request.deadlineTimer = world.simulation.timer(
                request.deadline() + world.plan.rules().responseSlackMicros() + 1, at -> deadlinePassed(request, at));
        ClientRequest clientRequest = request.clientRequest();
        policy.request(
                now,
                request.id(),
                clientRequest.requestClass,
                clientRequest.tenant,
                clientRequest.key < 0 ? null : Integer.toHexString(clientRequest.key),
                timeLeftMicros,
                -1,
                clientRetry,
                this);
    }

    private void deadlinePassed(BalancerRequest request, long now) {
        if (alive && !request.answered && !request.clientGone) {
            world.observer.deadlineMissed(request, now);
            request.clientGone = true;
            world.clients.attemptEnded(request, Clients.AttemptResult.SILENT, 0, now);
            policy.clientGone(now, request.id(), this);
            releaseIfFinished(request);
        }
    }

    void abandon(BalancerRequest request, long now) {
        if (alive && !request.answered && !request.clientGone) {
            request.clientGone = true;
            request.step(now, "the client left");
            request.deadlineTimer.cancel();
            policy.clientGone(now, request.id(), this);
            releaseIfFinished(request);
        }
    }

    /** Handles the outcome of an attempt. */
    void outcome(Attempt attempt, AttemptOutcome outcome, long now) {
        if (!alive || !attempt.inFlight()) {
            return;
        }
        BalancerRequest request = attempt.request();
        if (attempt.timeout != null) {
            attempt.timeout.cancel();
        }
        attempt.markEnded(outcome);
        request.attemptsInFlight--;
        request.step(now, "attempt " + attempt.number() + " " + outcome);
        world.observer.attemptEnded(attempt, outcome, now);
        boolean reusable =
                outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.FULL;
        if (reusable && attempt.upstream.alive()) {
            idleConnections
                    .computeIfAbsent(attempt.upstream, u -> new IdleConnections())
                    .release(now);
        } else if (outcome != AttemptOutcome.NOT_SENT && outcome != AttemptOutcome.CONNECT_FAILED) {
            attempt.upstream.addConnections(-1);
        }
        if (outcome == AttemptOutcome.OK && !request.answered && !request.clientGone) {
            answer(request, Clients.AttemptResult.SERVED, 0, now);
        }
        policy.outcome(
                now,
                request.id(),
                attempt.number(),
                outcome,
                now - attempt.sentAt(),
                request.answered || request.clientGone,
                null,
                this);
        releaseIfFinished(request);
    }

    private void releaseIfFinished(BalancerRequest request) {
        if ((request.answered || request.clientGone) && request.attemptsInFlight == 0) {
            requests.remove(request.id());
            finishedRequests.put(request.id(), request);
        }
    }

    private void answer(BalancerRequest request, Clients.AttemptResult result, long retryAfter, long now) {
        request.answered = true;
        request.deadlineTimer.cancel();
        request.step(now, "answered " + result);
        world.observer.requestAnswered(request, result, retryAfter, now);
        world.clients.attemptEnded(request, result, retryAfter, now);
    }

    /** Ends the process at once. Its open requests are lost; the clients may retry them. */
    void kill(long now) {
        alive = false;
        subscriber.end();
        for (BalancerRequest request : List.copyOf(requests.values())) {
            for (Attempt attempt : request.attempts) {
                if (attempt.inFlight()) {
                    if (attempt.timeout != null) {
                        attempt.timeout.cancel();
                    }
                    attempt.upstream.addConnections(-1);
                    attempt.upstream.abandon(attempt);
                    attempt.markEnded(AttemptOutcome.CANCELLED);
                }
            }
            request.deadlineTimer.cancel();
            if (!request.answered && !request.clientGone) {
                request.clientGone = true;
                world.clients.attemptEnded(request, Clients.AttemptResult.CUT, 0, now);
            }
        }
        requests.clear();
        idleConnections.forEach((upstream, idle) -> idle.closeAll(upstream));
        idleConnections.clear();
    }

    /** Forgets the idle connections to a process that has ended. */
    void connectionsLost(Upstream upstream) {
        idleConnections.remove(upstream);
    }

    /** Closes connections that have been idle for too long; called once per second, not with each send. */
    void closeExpiredConnections(long now) {
        idleConnections.forEach((upstream, idle) ->
                idle.expire(upstream, now, world.plan.fleet().idleTimeoutMicros()));
    }

    // ---- actions of the policy

    @Override
    public void send(String request, String server, long timeoutMicros) {
        long now = world.simulation.now();
        BalancerRequest balancerRequest = requests.get(request);
        Upstream upstream = world.currentUpstream(server);
        if (balancerRequest == null || upstream == null || !endpoints.containsKey(server)) {
            world.observer.invalidAction(
                    this,
                    "send of " + request + " to " + server
                            + (balancerRequest == null ? ": no such request is open" : ": never listed"),
                    balancerRequest,
                    now);
            return;
        }
        Attempt attempt = new Attempt(balancerRequest, balancerRequest.attempts.size(), server, upstream, now);
        balancerRequest.step(now, "sent to " + server + " as attempt " + attempt.number());
        world.observer.attemptStarting(attempt, now);
        balancerRequest.attempts.add(attempt);
        balancerRequest.attemptsInFlight++;
        long timeLeftMicros = balancerRequest.deadline() - now;
        if (balancerRequest.answered
                || balancerRequest.clientGone
                || timeLeftMicros <= 0
                || attempt.number() >= world.plan.rules().maxAttempts()) {
            world.simulation.after(0, at -> outcome(attempt, AttemptOutcome.NOT_SENT, at));
            return;
        }
        attempt.timeout = world.simulation.timer(
                now + (timeoutMicros == 0 ? timeLeftMicros : Math.max(0, Math.min(timeoutMicros, timeLeftMicros))),
                at -> {
                    upstream.abandon(attempt);
                    outcome(attempt, AttemptOutcome.TIMEOUT, at);
                });
        IdleConnections idle = idleConnections.computeIfAbsent(upstream, x -> new IdleConnections());
        boolean newConnection = !idle.take(upstream, now, world.plan.fleet().idleTimeoutMicros());
        world.transport.deliver(attempt, newConnection, now);
    }

    @Override
    public void reject(String request, long retryAfter) {
        close(request, Clients.AttemptResult.REFUSED, retryAfter);
    }

    @Override
    public void fail(String request) {
        close(request, Clients.AttemptResult.FAILED, 0);
    }

    private void close(String request, Clients.AttemptResult result, long retryAfter) {
        long now = world.simulation.now();
        BalancerRequest balancerRequest = requests.getOrDefault(request, finishedRequests.get(request));
        if (balancerRequest == null) {
            world.observer.invalidAction(this, result + " of " + request + ": no such request was taken", null, now);
            return;
        }
        if (balancerRequest.answered) {
            world.observer.answeredTwice(balancerRequest, result, now);
        } else if (!balancerRequest.clientGone) {
            answer(balancerRequest, result, retryAfter, now);
            releaseIfFinished(balancerRequest);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        BalancerRequest balancerRequest = requests.get(request);
        if (balancerRequest == null || attempt < 0 || attempt >= balancerRequest.attempts.size()) {
            world.observer.invalidAction(
                    this,
                    "cancel of " + request + "/" + attempt + ": never sent",
                    balancerRequest,
                    world.simulation.now());
            return;
        }
        Attempt cancelled = balancerRequest.attempts.get(attempt);
        if (cancelled.inFlight()) {
            cancelled.upstream.abandon(cancelled);
            world.simulation.after(0, at -> outcome(cancelled, AttemptOutcome.CANCELLED, at));
        }
    }

    @Override
    public void probe(String server) {
        Upstream upstream = world.currentUpstream(server);
        if (upstream != null) {
            world.transport.probe(this, server, upstream, world.simulation.now());
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
        Upstream upstream = world.currentUpstream(server);
        IdleConnections idle = upstream == null ? null : idleConnections.get(upstream);
        if (idle != null) {
            idle.closeAll(upstream);
        }
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        world.observer.invalidAction(this, "a message to a peer: none are carried here", null, world.simulation.now());
    }

    @Override
    public void wakeAfter(long delayMicros) {
        world.simulation.after(Math.max(0, delayMicros), now -> {
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
