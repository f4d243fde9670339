package loadbalancer.process;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.net.UnixDomainSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.discovery.EndpointList;
import loadbalancer.dispatch.RequestDispatcher;
import loadbalancer.dispatch.RequestHandler;
import loadbalancer.http.WarmUpTraffic;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.settings.BootSettings;
import loadbalancer.transport.HeaderNames;
import loadbalancer.transport.InboundRequest;
import loadbalancer.upstream.UpstreamConnectionPool;

/**
 * Sends requests through the whole path of the process, from its own clients' side to itself as an upstream, before
 * clients come: code that the JVM has not compiled yet takes many times as long, and the process would fall behind
 * under a full load. It has a policy, a dispatcher and connections of its own, which end with it, so that the process's
 * own ones learn nothing from it. Belongs to the event loop's thread.
 */
final class WarmUp implements WarmUpTraffic {
    private static final String TOKEN_HEADER = "Rehearsal"; // with a value that no one else knows
    private static final String ID_PREFIX = "rehearsal-";

    // The more balancers there are, the fewer requests each has to be ready for at once; and the more of them start
    // together after a release, on cores that they share.
    private static final int REQUESTS_OF_ALL_BALANCERS = 900;
    private static final int MAX_REQUESTS = 300;
    private static final int MIN_REQUESTS = 100;

    private static final int CONCURRENT_REQUESTS = 8;
    private static final int ENDPOINTS = 8;
    private static final int KINDS = 2;
    private static final int BODY_BYTES = 200; // of requests that have one
    /** In the second half of the requests, every so many-th is rejected by the upstream, to warm up retries. */
    private static final int REJECTION_INTERVAL = 3;

    private static final long MAX_DURATION_MILLIS = 4_000; // reached where the machine is busy
    private static final long REQUEST_TIMEOUT_MICROS = 1_000_000;

    private final EventLoop loop;
    private final BootSettings settings;
    private final Runnable then;
    private final String token;
    private final int requests;
    private final RequestDispatcher dispatcher;
    private final UpstreamConnectionPool upstreams; // from the dispatcher to this process
    private final UpstreamConnectionPool clients; // to this process as its clients
    private int sent;
    private int completed;
    private int returned;
    private boolean ended;

    /**
     * Creates a warm-up that is not started.
     *
     * @param address a Unix socket of its own to this process; null where it uses the address of {@link #start}
     * @param then runs on the event loop's thread when it has ended
     */
    WarmUp(EventLoop loop, BalancerConfig config, UnixDomainSocketAddress address, Runnable then) {
        this.loop = loop;
        this.settings = config.boot();
        this.then = then;
        int share = REQUESTS_OF_ALL_BALANCERS / settings.policySettings().balancers();
        this.requests = Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, share));
        this.token = Long.toHexString(new SplittableRandom(config.seed() ^ System.nanoTime()).nextLong());
        LoadBalancingPolicy policy = new JsqDasPolicy(settings.policySettings(), config.seed());
        dispatcher = new RequestDispatcher(loop, settings, policy, line -> {});
        DescriptorBudget descriptors = new DescriptorBudget(config.maxDescriptors());
        upstreams = new UpstreamConnectionPool(loop, settings, descriptors, dispatcher::nowMicros, address);
        clients = new UpstreamConnectionPool(loop, settings, descriptors, dispatcher::nowMicros, address);
        dispatcher.attach(upstreams, null);
    }

    @Override
    public RequestHandler requestHandler() {
        return dispatcher;
    }

    @Override
    public boolean matches(HttpHeaders headers) {
        return token.equals(headers.get(TOKEN_HEADER));
    }

    /** Starts to send requests to this process, which listens at that address. */
    void start(InetSocketAddress self) {
        EndpointList list = new EndpointList(0, true, endpoints(self));
        clients.updateEndpoints(list, dispatcher.nowMicros());
        dispatcher.updateEndpoints(EndpointListKind.CACHED, list);
        loop.schedule(this::end, MAX_DURATION_MILLIS, TimeUnit.MILLISECONDS);
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
            sendNext();
        }
    }

    private List<EndpointList.Entry> endpoints(InetSocketAddress self) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        int zone = settings.policySettings().zone();
        for (int i = 0; i < ENDPOINTS; i++) {
            Endpoint endpoint = new Endpoint(ID_PREFIX + i, EndpointState.UP, 0, 1, 0, i % KINDS, zone);
            entries.add(new EndpointList.Entry(endpoint, self));
        }
        return entries;
    }

    @Override
    public boolean declines() {
        returned++;
        return sent > requests / 2 && returned % REJECTION_INTERVAL == 0;
    }

    private void sendNext() {
        if (sent >= requests) {
            return;
        }
        int requestClass = sent++ % settings.classes().size();
        clients.send(
                ID_PREFIX + 0, request(requestClass), REQUEST_TIMEOUT_MICROS, (outcome, answer, load) -> completed());
    }

    private InboundRequest request(int requestClass) {
        Idempotency idempotency =
                settings.policySettings().classes().get(requestClass).idempotency();
        boolean safe = idempotency == Idempotency.IDEMPOTENT;
        String id = ID_PREFIX + sent;
        HttpHeaders headers = new DefaultHttpHeaders()
                .set(TOKEN_HEADER, token)
                .set(HeaderNames.REQUEST_ID, id)
                .set(HeaderNames.REQUEST_CLASS, settings.classes().get(requestClass))
                .set(HeaderNames.WORK_ESTIMATE_MICROS, Integer.toString(sent));
        if (idempotency == Idempotency.IDEMPOTENT_WITH_KEY) {
            headers.set(HeaderNames.IDEMPOTENCY_KEY, id);
        }
        HttpMethod method = safe ? HttpMethod.GET : HttpMethod.POST;
        byte[] body = new byte[safe ? 0 : BODY_BYTES];
        return new InboundRequest(
                id, method, CLIENT_PATH, headers, body, null, requestClass, 0, null, REQUEST_TIMEOUT_MICROS, -1, false);
    }

    private void completed() {
        completed++;
        if (completed >= requests) {
            end();
        } else if (!ended) {
            loop.execute(this::sendNext);
        }
    }

    private void end() {
        if (!ended) {
            ended = true;
            sent = requests;
            dispatcher.retire();
            clients.close();
            upstreams.close();
            then.run();
        }
    }
}
