package loadbalancer.dispatch;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.logs.Log;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.LoadReporting;
import loadbalancer.settings.BootSettings;
import loadbalancer.upstream.UpstreamConnectionPool;

/**
 * Executes the actions of the policy, which calls it while it handles an event, on the event loop's thread. Actions for
 * requests that are no longer open are ignored.
 */
final class PolicyActions implements LoadBalancingPolicy.Actions {
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final OpenRequests openRequests;
    private final PolicyEventQueue events;
    private final LoadBalancingPolicy policy;
    private final Log log;
    private final AttemptRunner attempts;
    private BootSettings siteSettings;
    private UpstreamConnectionPool connections;
    private DiscoveryClient discovery; // null if the endpoint list never changes

    PolicyActions(
            EventLoop loop,
            MonotonicClock clock,
            OpenRequests openRequests,
            PolicyEventQueue events,
            LoadBalancingPolicy policy,
            BootSettings siteSettings,
            Log log) {
        this.loop = loop;
        this.clock = clock;
        this.openRequests = openRequests;
        this.events = events;
        this.policy = policy;
        this.siteSettings = siteSettings;
        this.log = log;
        this.attempts = new AttemptRunner(loop, clock, openRequests, events, policy, this);
    }

    AttemptRunner attempts() {
        return attempts;
    }

    void attach(UpstreamConnectionPool pool, DiscoveryClient client) {
        connections = pool;
        discovery = client;
        attempts.attach(pool);
    }

    void reconfigure(BootSettings newSettings) {
        siteSettings = newSettings;
    }

    @Override
    public void send(String requestId, String endpointId, long timeoutMicros) {
        send(requestId, endpointId, timeoutMicros, AttemptRunner.UNLIMITED_MICROS);
    }

    @Override
    public void send(String requestId, String endpointId, long timeoutMicros, long permittedMicros) {
        OpenRequest openRequest = openRequests.find(requestId);
        if (openRequest != null) {
            attempts.start(openRequest, endpointId, timeoutMicros, permittedMicros);
        }
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        OpenRequest openRequest = openRequests.find(requestId);
        if (openRequest != null && !openRequest.closed) {
            openRequests.closeAnswered(openRequest);
            openRequest.responder.reject(retryAfterMicros);
            openRequests.removeIfDone(openRequest);
        }
    }

    @Override
    public void fail(String requestId) {
        OpenRequest openRequest = openRequests.find(requestId);
        if (openRequest != null && !openRequest.closed) {
            openRequests.closeAnswered(openRequest);
            openRequest.responder.fail();
            openRequests.removeIfDone(openRequest);
        }
    }

    @Override
    public void cancel(String requestId, int attempt) {
        OpenRequest openRequest = openRequests.find(requestId);
        if (openRequest != null) {
            attempts.cancel(openRequest, attempt);
        }
    }

    @Override
    public void probe(String endpointId) {
        long sentAtMicros = clock.nowMicros();
        boolean loadReport = siteSettings.policySettings().loadReporting() != LoadReporting.NONE;
        connections.probe(
                endpointId,
                loadReport,
                (outcome, response, load) -> events.submit(nowMicros ->
                        policy.probed(nowMicros, endpointId, outcome, nowMicros - sentAtMicros, load, this)));
    }

    @Override
    public void watch(boolean on) {
        if (discovery != null) {
            discovery.watch(on);
        }
    }

    @Override
    public void fetchList() {
        if (discovery != null) {
            discovery.poll();
        }
    }

    @Override
    public void closeIdle(String endpointId) {
        connections.closeIdle(endpointId);
    }

    /** Not supported: only simulated balancers exchange messages. */
    @Override
    public void sendToPeer(int peer, byte[] data) {
        throw new UnsupportedOperationException("balancers exchange messages only in the simulator");
    }

    @Override
    public void wakeAfter(long delayMicros) {
        loop.schedule(
                () -> events.submit(nowMicros -> policy.wake(nowMicros, this)), delayMicros, TimeUnit.MICROSECONDS);
    }

    @Override
    public void log(String line) {
        log.info(line);
    }
}
