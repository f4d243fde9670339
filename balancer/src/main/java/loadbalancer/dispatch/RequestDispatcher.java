package loadbalancer.dispatch;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointSubset;
import loadbalancer.logs.Log;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LearnedStateCodec;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.settings.BootSettings;
import loadbalancer.transport.InboundRequest;
import loadbalancer.upstream.UpstreamConnectionPool;

/**
 * Connects the sockets with the policy: owns the policy, its clock and the open requests, and passes events to the
 * policy. {@link PolicyActions} executes the actions that the policy chooses; the dispatcher makes no routing
 * decisions. All methods must be called on the event loop's thread.
 */
public final class RequestDispatcher implements RequestHandler {
    /** If the policy has chosen no response this long before the deadline, the client gets a last-resort failure. */
    static final long LAST_RESORT_MARGIN_MICROS = 6_000;

    private final EventLoop loop;
    private final LoadBalancingPolicy policy;
    private final MonotonicClock clock = new MonotonicClock();
    private final OpenRequests openRequests;
    private final DispatchStatistics statistics;
    private final PolicyEventQueue events;
    private final PolicyActions actions;
    private final SlowStartBudget slowStartBudget;
    private BootSettings siteSettings;
    private UpstreamConnectionPool connections;

    /** Creates a dispatcher that knows only its own requests; see the other constructor. */
    public RequestDispatcher(EventLoop loop, BootSettings siteSettings, LoadBalancingPolicy policy, Log log) {
        this(loop, siteSettings, policy, log, new UnansweredIds());
    }

    /**
     * Creates a dispatcher; {@link #attach} has to be called before the first request.
     *
     * @param unansweredIds the ids that may not run again, which all dispatchers of a process share
     */
    public RequestDispatcher(
            EventLoop loop,
            BootSettings siteSettings,
            LoadBalancingPolicy policy,
            Log log,
            UnansweredIds unansweredIds) {
        this.loop = loop;
        this.siteSettings = siteSettings;
        this.policy = policy;
        openRequests = new OpenRequests(loop, unansweredIds);
        statistics = new DispatchStatistics(log);
        events = new PolicyEventQueue(clock, statistics);
        actions = new PolicyActions(loop, clock, openRequests, events, policy, siteSettings, log);
        slowStartBudget = new SlowStartBudget(events, policy, log);
    }

    /** Sets the pool that requests are sent through; {@code discovery} is null if the endpoint list never changes. */
    public void attach(UpstreamConnectionPool pool, DiscoveryClient discovery) {
        connections = pool;
        actions.attach(pool, discovery);
    }

    /** Returns the time in microseconds since 1970, from a clock that never goes back. */
    public long nowMicros() {
        return clock.nowMicros();
    }

    // ---- requests

    @Override
    public boolean isOpen(String requestId) {
        return openRequests.containsClientId(requestId);
    }

    @Override
    public Runnable handle(InboundRequest request, ClientResponder responder) {
        String id = Long.toString(statistics.countRequest(), Character.MAX_RADIX);
        OpenRequest openRequest = new OpenRequest(
                id,
                request,
                responder,
                nowMicros(),
                siteSettings.policySettings().limits().maxAttempts(),
                isRepeatable(request.requestClass()));
        openRequests.add(openRequest);
        if (request.streamedBody() == null) {
            openRequest.bodyCompleted(nowMicros());
        } else {
            request.streamedBody().whenComplete(() -> openRequest.bodyCompleted(nowMicros()));
        }
        scheduleLastResort(openRequest);
        events.submit(nowMicros -> policy.request(
                nowMicros,
                id,
                request.requestClass(),
                request.tenant(),
                request.key(),
                Math.max(0, openRequest.timeLeftMicros(nowMicros)),
                request.workEstimateMicros(),
                request.clientRetry(),
                actions));
        return () -> clientGone(openRequest);
    }

    private boolean isRepeatable(int requestClass) {
        return siteSettings.policySettings().classes().get(requestClass).idempotency() == Idempotency.IDEMPOTENT;
    }

    // Runs from the start of each request, so that it does not depend on any further event. If more of the body has
    // arrived when it expires, the deadline is later by then.
    private void scheduleLastResort(OpenRequest openRequest) {
        long delayMicros = openRequest.timeLeftMicros(nowMicros()) - LAST_RESORT_MARGIN_MICROS;
        openRequest.lastResortTimer = loop.schedule(
                () -> lastResortTimerExpired(openRequest), Math.max(0, delayMicros), TimeUnit.MICROSECONDS);
    }

    private void lastResortTimerExpired(OpenRequest openRequest) {
        if (!openRequest.closed && openRequest.timeLeftMicros(nowMicros()) > LAST_RESORT_MARGIN_MICROS) {
            scheduleLastResort(openRequest);
        } else {
            respondAsLastResort(openRequest);
        }
    }

    private void clientGone(OpenRequest openRequest) {
        if (!openRequest.closed) {
            openRequests.close(openRequest);
            events.submit(nowMicros -> policy.clientGone(nowMicros, openRequest.id, actions));
            // An unsent attempt is cancelled even if the policy may not cancel, as nobody waits for its response.
            actions.attempts().cancelUnsent(openRequest);
            openRequests.removeIfDone(openRequest);
        }
    }

    // If the policy has not responded or has thrown an exception, the client gets a failure before its deadline.
    private void respondAsLastResort(OpenRequest openRequest) {
        if (!openRequest.closed) {
            statistics.countLastResort();
            openRequests.closeAnswered(openRequest);
            openRequest.responder.fail();
            events.submit(nowMicros -> policy.clientGone(nowMicros, openRequest.id, actions));
            for (Attempt attempt : openRequest.attempts) {
                if (!attempt.ended) {
                    actions.cancel(openRequest.id, attempt.number);
                }
            }
            openRequests.removeIfDone(openRequest);
        }
    }

    /** Runs {@code listener} on the event loop once no response is pending. */
    public void whenIdle(Runnable listener) {
        openRequests.whenIdle(listener);
    }

    // ---- endpoints and settings

    /** Applies an update of the endpoint list; {@code endpoints} is null if the poll or the watch has failed. */
    public void updateEndpoints(EndpointListKind kind, EndpointList endpoints) {
        if (endpoints != null) {
            connections.updateEndpoints(endpoints, nowMicros());
        }
        events.submit(nowMicros ->
                policy.endpoints(nowMicros, kind, endpoints == null ? List.of() : endpoints.endpoints(), actions));
    }

    /** Applies new settings to requests that arrive after this call; classes and tenants are matched by name. */
    public void reconfigure(BootSettings newSettings) {
        BootSettings previous = siteSettings;
        siteSettings = newSettings;
        actions.reconfigure(newSettings);
        events.submit(nowMicros -> policy.reconfigure(
                nowMicros,
                newSettings.policySettings(),
                previousIndexes(newSettings.classes(), previous.classes()),
                previousIndexes(newSettings.tenants(), previous.tenants())));
    }

    private static int[] previousIndexes(List<String> names, List<String> previousNames) {
        return names.stream().mapToInt(previousNames::indexOf).toArray();
    }

    /** Returns the learned state of the policy, for the successor of this process. */
    public Map<String, double[]> learnedState() {
        return LearnedStateCodec.encode(policy.learnedState(nowMicros()));
    }

    /** Passes the learned state of the predecessor's policy to the policy. */
    public void restore(Map<String, double[]> learnedState) {
        events.submit(nowMicros -> policy.restore(nowMicros, LearnedStateCodec.decode(learnedState)));
    }

    /** Sets the fraction of the balancer's slow-start budget that this process may use. */
    public void setSlowStartFraction(double fraction) {
        slowStartBudget.setProcessFraction(fraction);
    }

    /** Sets the subset of the endpoints that the balancer uses. */
    public void updateSubset(EndpointSubset subset) {
        slowStartBudget.setSubset(subset, siteSettings);
    }

    /** Passes no more events to the policy, so that it chooses no more actions. */
    public void retire() {
        events.close();
    }

    /** Returns the counters since the start as text for the log. */
    public String summary() {
        return statistics.summary(openRequests.unanswered());
    }
}
