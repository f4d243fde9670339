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
import loadbalancer.policy.LearnedStateCodec;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.settings.BootSettings;
import loadbalancer.transport.InboundRequest;
import loadbalancer.upstream.UpstreamConnectionPool;

/**
 * Stands between the sockets and the policy: owns the policy, its clock and the open requests, and gives the policy its
 * events. What the policy asks for in return is carried out by {@link PolicyActions}. Decides nothing. All methods are
 * for the event loop's thread.
 */
public final class RequestDispatcher implements RequestHandler {
    /** A client gets a failure this long before its deadline where the policy has chosen no response by then. */
    static final long LAST_RESORT_MARGIN_MICROS = 6_000;

    private final EventLoop loop;
    private final LoadBalancingPolicy policy;
    private final MonotonicClock clock = new MonotonicClock();
    private final OpenRequests openRequests;
    private final DispatchStatistics statistics;
    private final PolicyEventQueue events;
    private final PolicyActions actions;
    private final SlowStartQuota slowStartQuota;
    private BootSettings siteSettings;
    private UpstreamConnectionPool connections;

    /** Creates a dispatcher that works once connections are attached. */
    public RequestDispatcher(EventLoop loop, BootSettings siteSettings, LoadBalancingPolicy policy, Log log) {
        this.loop = loop;
        this.siteSettings = siteSettings;
        this.policy = policy;
        openRequests = new OpenRequests(loop);
        statistics = new DispatchStatistics(log);
        events = new PolicyEventQueue(clock, statistics);
        actions = new PolicyActions(loop, clock, openRequests, events, policy, siteSettings, log);
        slowStartQuota = new SlowStartQuota(events, policy, log);
    }

    /** Sends through {@code pool} from here on; {@code discovery} may be null where the list never changes. */
    public void attach(UpstreamConnectionPool pool, DiscoveryClient discovery) {
        connections = pool;
        actions.attach(pool, discovery);
    }

    /** Returns microseconds since 1970 that never go back and compare with the start times of upstreams. */
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
                nowMicros() + request.timeLeftMicros(),
                siteSettings.policySettings().limits().maxAttempts());
        openRequests.add(openRequest);
        if (request.bodyRemainder() == null) {
            startDeadline(openRequest);
        } else {
            request.bodyRemainder().whenComplete(() -> startDeadline(openRequest));
        }
        events.submit(nowMicros -> policy.request(
                nowMicros,
                id,
                request.requestClass(),
                request.tenant(),
                request.key(),
                Math.max(0, openRequest.deadlineMicros - nowMicros),
                request.workEstimateMicros(),
                request.clientRetry(),
                actions));
        return () -> clientGone(openRequest);
    }

    // A client's time runs from the last byte of its request.
    private void startDeadline(OpenRequest openRequest) {
        if (!openRequest.closed) {
            long timeLeftMicros = openRequest.request.timeLeftMicros();
            openRequest.completeAtMicros = nowMicros();
            openRequest.deadlineMicros = openRequest.completeAtMicros + timeLeftMicros;
            openRequest.lastResort = loop.schedule(
                    () -> respondAsLastResort(openRequest),
                    Math.max(0, timeLeftMicros - LAST_RESORT_MARGIN_MICROS),
                    TimeUnit.MICROSECONDS);
        }
    }

    private void clientGone(OpenRequest openRequest) {
        if (!openRequest.closed) {
            openRequests.close(openRequest);
            events.submit(nowMicros -> policy.clientGone(nowMicros, openRequest.id, actions));
            // Also where the policy may not cancel: what has not begun to leave is sent for nobody.
            actions.attempts().cancelUnsent(openRequest);
            openRequests.removeIfDone(openRequest);
        }
    }

    // Where the policy stays silent or has thrown, the client gets a failure while it still listens.
    private void respondAsLastResort(OpenRequest openRequest) {
        if (!openRequest.closed) {
            statistics.countLastResort();
            openRequests.close(openRequest);
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

    /** Runs {@code listener} on the event loop once no response is owed. */
    public void whenIdle(Runnable listener) {
        openRequests.whenIdle(listener);
    }

    // ---- endpoints and settings

    /** Takes a change of the list of endpoints; {@code endpoints} is null where the poll or the watch has failed. */
    public void updateEndpoints(EndpointListKind kind, EndpointList endpoints) {
        if (endpoints != null) {
            connections.updateEndpoints(endpoints, nowMicros());
        }
        events.submit(nowMicros ->
                policy.endpoints(nowMicros, kind, endpoints == null ? List.of() : endpoints.endpoints(), actions));
    }

    /** Takes new settings for requests that arrive from here on; classes and tenants are matched by name. */
    public void reconfigure(BootSettings next) {
        BootSettings previous = siteSettings;
        siteSettings = next;
        actions.reconfigure(next);
        events.submit(nowMicros -> policy.reconfigure(
                nowMicros,
                next.policySettings(),
                formerIndexes(next.classes(), previous.classes()),
                formerIndexes(next.tenants(), previous.tenants())));
    }

    private static int[] formerIndexes(List<String> names, List<String> formerNames) {
        return names.stream().mapToInt(formerNames::indexOf).toArray();
    }

    /** Returns what the policy has learned, for a process that replaces this one. */
    public Map<String, double[]> learnedState() {
        return LearnedStateCodec.encode(policy.learnedState(nowMicros()));
    }

    /** Gives the policy what that of another process has learned. */
    public void restore(Map<String, double[]> learnedState) {
        events.submit(nowMicros -> policy.restore(nowMicros, LearnedStateCodec.decode(learnedState)));
    }

    /** This process may use that fraction of what the balancer may send to endpoints in slow start. */
    public void setSlowStartFraction(double fraction) {
        slowStartQuota.setProcessFraction(fraction);
    }

    /** The balancer holds that subset of the endpoints from here on. */
    public void updateSubset(EndpointSubset subset) {
        slowStartQuota.setSubset(subset, siteSettings);
    }

    /** Gives the policy no further event, so that it asks for nothing more. */
    public void retire() {
        events.close();
    }

    /** Returns the counts since the start as words for the log. */
    public String summary() {
        return statistics.summary(openRequests.unanswered());
    }
}
