package loadbalancer.process;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.LearnedState;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.LoadReport;
import loadbalancer.policy.PolicySettings;

/** A policy that records the events that it receives and sends each request to {@code endpointId}. */
public class ScriptedPolicy implements LoadBalancingPolicy {
    public final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    public final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    public final Map<String, Long> startedAt = new ConcurrentHashMap<>();
    public volatile LearnedState learnedState = LearnedState.NONE;
    public volatile long timeoutMicros;
    public volatile long permittedMicros = Long.MAX_VALUE;
    public volatile boolean throwsOnRequest;
    public volatile boolean retriesWhenFull;
    public volatile boolean cancelsForGoneClients = true;
    public volatile Runnable onOutcome = () -> {};
    public volatile Runnable onRequest = () -> {};
    public volatile String endpointId = "s1";
    public volatile LoadBalancingPolicy.Actions actions;

    @Override
    public void endpoints(long now, EndpointListKind kind, List<Endpoint> endpoints, Actions actions) {
        this.actions = actions;
        endpoints.forEach(endpoint -> startedAt.put(endpoint.id(), endpoint.startedAt()));
        events.add(kind + " "
                + endpoints.stream()
                        .map(endpoint -> endpoint.id() + "=" + endpoint.state())
                        .toList());
    }

    @Override
    public void request(
            long now,
            String request,
            int requestClass,
            int tenant,
            String key,
            long timeLeftMicros,
            long work,
            boolean clientRetry,
            Actions actions) {
        requests.add(requestClass + " " + key + " " + work + " " + clientRetry);
        if (throwsOnRequest) {
            throw new IllegalStateException("broken");
        }
        onRequest.run();
        if (endpointId != null) {
            actions.send(request, endpointId, timeoutMicros, permittedMicros);
        }
    }

    @Override
    public void outcome(
            long now,
            String request,
            int attempt,
            AttemptOutcome outcome,
            long latencyMicros,
            boolean closed,
            LoadReport load,
            Actions actions) {
        events.add(outcome + (load == null ? "" : " " + load.inFlight()) + (closed ? " closed" : ""));
        onOutcome.run();
        if (!closed && retriesWhenFull && outcome == AttemptOutcome.FULL) {
            actions.send(request, endpointId, timeoutMicros);
        } else if (!closed) {
            actions.fail(request);
        }
    }

    @Override
    public void streamStarted(long now, String request, int attempt, Actions actions) {}

    @Override
    public void clientGone(long now, String request, Actions actions) {
        events.add("client gone");
        if (cancelsForGoneClients) {
            actions.cancel(request, 0);
        }
    }

    @Override
    public void probed(
            long now, String endpoint, AttemptOutcome outcome, long latencyMicros, LoadReport load, Actions actions) {
        events.add("probed " + outcome + " " + (load == null ? "-" : load.inFlight()));
    }

    @Override
    public void reconfigure(long now, PolicySettings settings, int[] formerClasses, int[] formerTenants) {
        events.add("reconfigured " + Arrays.toString(formerClasses) + " " + Arrays.toString(formerTenants));
    }

    @Override
    public LearnedState learnedState(long now) {
        return learnedState;
    }

    @Override
    public void restore(long now, LearnedState restored) {
        if (restored.traffic() != null) {
            events.add("restored arrivals " + restored.traffic().arrivals());
        }
    }

    @Override
    public void setSlowStartBudgetFactor(double factor) {
        events.add("slow-start budget factor " + factor);
    }

    @Override
    public void wake(long now, Actions actions) {}

    /** Waits for the next event; fails if none comes. */
    public String nextEvent() throws InterruptedException {
        String event = events.poll(20, TimeUnit.SECONDS);
        if (event == null) {
            throw new AssertionError("no event reached the policy");
        }
        return event;
    }
}
