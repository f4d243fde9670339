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
 * Carries out what the policy asks for. Called by the policy while it handles an event, on the event loop's thread;
 * actions for requests that are no longer open are legal and ignored.
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
    private DiscoveryClient discovery; // null where there is none

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

    void reconfigure(BootSettings next) {
        siteSettings = next;
    }

    @Override
    public void send(String request, String endpoint, long timeoutMicros) {
        OpenRequest openRequest = openRequests.find(request);
        if (openRequest != null) {
            attempts.start(openRequest, endpoint, timeoutMicros);
        }
    }

    @Override
    public void reject(String request, long retryAfterMicros) {
        OpenRequest openRequest = openRequests.find(request);
        if (openRequest != null && !openRequest.closed) {
            openRequests.close(openRequest);
            openRequest.responder.reject(retryAfterMicros);
            openRequests.removeIfDone(openRequest);
        }
    }

    @Override
    public void fail(String request) {
        OpenRequest openRequest = openRequests.find(request);
        if (openRequest != null && !openRequest.closed) {
            openRequests.close(openRequest);
            openRequest.responder.fail();
            openRequests.removeIfDone(openRequest);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        OpenRequest openRequest = openRequests.find(request);
        if (openRequest != null) {
            attempts.cancel(openRequest, attempt);
        }
    }

    @Override
    public void probe(String endpoint) {
        long sentAtMicros = clock.nowMicros();
        boolean loadReport = siteSettings.policySettings().loadReporting() != LoadReporting.NONE;
        connections.probe(
                endpoint,
                loadReport,
                (outcome, response, load) -> events.submit(nowMicros ->
                        policy.probed(nowMicros, endpoint, outcome, nowMicros - sentAtMicros, load, this)));
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
    public void closeIdle(String endpoint) {
        connections.closeIdle(endpoint);
    }

    /** Real balancers exchange no messages. */
    @Override
    public void sendToPeer(int peer, byte[] data) {
        throw new UnsupportedOperationException("messages between balancers");
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
