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
import loadbalancer.transport.MemoryBudget;
import loadbalancer.transport.MemoryBudgets;
import loadbalancer.upstream.UpstreamConnectionPool;

/**
 * Warms up the process before clients come: it sends requests to itself as a client, and forwards them to itself as an
 * upstream. Code that the JVM has not compiled yet takes many times as long, and under a full load the process would
 * fall behind. The warm-up has a policy, a dispatcher and connections of its own, so that those of the process learn
 * nothing from it. Confined to the event loop's thread.
 */
final class WarmUp implements WarmUpTraffic {
    /** Its value is random, so that no client can pass for the warm-up. */
    private static final String TOKEN_HEADER = "Rehearsal";

    private static final String ID_PREFIX = "rehearsal-";

    // The number of requests falls with the number of balancers: each then has less load to be ready for, and more of
    // them start together after a release, on cores that they share.
    private static final int REQUESTS_OF_ALL_BALANCERS = 900;
    private static final int MAX_REQUESTS = 300;
    private static final int MIN_REQUESTS = 100;

    private static final int CONCURRENT_REQUESTS = 8;
    private static final int ENDPOINTS = 8;
    private static final int MACHINE_KINDS = 2;
    private static final int BODY_BYTES = 200; // of requests with a body
    /** In the second half of the warm-up the upstream rejects one in this many requests, to warm up retries. */
    private static final int REJECTION_INTERVAL = 3;

    private static final long MAX_DURATION_MILLIS = 4_000; // reached when the machine is busy
    private static final long REQUEST_TIMEOUT_MICROS = 1_000_000;

    private final EventLoop loop;
    private final BootSettings settings;
    private final Runnable onEnd;
    private final String token;
    private final int totalRequests;
    private final RequestDispatcher dispatcher;
    private final UpstreamConnectionPool upstreams; // connections to this process as an upstream
    private final UpstreamConnectionPool clients; // connections to this process as a client
    private int sent;
    private int completed;
    private int receivedAsUpstream;
    private boolean ended;

    /**
     * Creates a warm-up without starting it.
     *
     * @param address the Unix socket of this process that requests are sent to; null for the address that {@link
     *     #start} gets
     * @param onEnd runs on the event loop's thread when the warm-up has ended
     */
    WarmUp(EventLoop loop, BalancerConfig config, UnixDomainSocketAddress address, Runnable onEnd) {
        this.loop = loop;
        this.settings = config.boot();
        this.onEnd = onEnd;
        int share = REQUESTS_OF_ALL_BALANCERS / settings.policySettings().balancers();
        this.totalRequests = Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, share));
        this.token = Long.toHexString(new SplittableRandom(config.seed() ^ System.nanoTime()).nextLong());
        LoadBalancingPolicy policy = new JsqDasPolicy(settings.policySettings(), config.seed());
        dispatcher = new RequestDispatcher(loop, settings, policy, line -> {});
        DescriptorBudget descriptors = new DescriptorBudget(config.maxDescriptors());
        MemoryBudget responseMemory = MemoryBudgets.create().responses();
        upstreams =
                new UpstreamConnectionPool(loop, settings, descriptors, responseMemory, dispatcher::nowMicros, address);
        clients =
                new UpstreamConnectionPool(loop, settings, descriptors, responseMemory, dispatcher::nowMicros, address);
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

    /** Starts to send requests to this process, which listens at the given address. */
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
            Endpoint endpoint = new Endpoint(ID_PREFIX + i, EndpointState.UP, 0, 1, 0, i % MACHINE_KINDS, zone);
            entries.add(new EndpointList.Entry(endpoint, self));
        }
        return entries;
    }

    @Override
    public boolean declines() {
        receivedAsUpstream++;
        return sent > totalRequests / 2 && receivedAsUpstream % REJECTION_INTERVAL == 0;
    }

    private void sendNext() {
        if (sent >= totalRequests) {
            return;
        }
        int requestClass = sent++ % settings.classes().size();
        clients.send(
                ID_PREFIX + 0, request(requestClass), REQUEST_TIMEOUT_MICROS, (outcome, response, load) -> completed());
    }

    private InboundRequest request(int requestClass) {
        Idempotency idempotency =
                settings.policySettings().classes().get(requestClass).idempotency();
        boolean idempotent = idempotency == Idempotency.IDEMPOTENT;
        String id = ID_PREFIX + sent;
        HttpHeaders headers = new DefaultHttpHeaders()
                .set(TOKEN_HEADER, token)
                .set(HeaderNames.REQUEST_ID, id)
                .set(HeaderNames.REQUEST_CLASS, settings.classes().get(requestClass))
                .set(HeaderNames.WORK_ESTIMATE_MICROS, Integer.toString(sent));
        if (idempotency == Idempotency.IDEMPOTENT_WITH_KEY) {
            headers.set(HeaderNames.IDEMPOTENCY_KEY, id);
        }
        HttpMethod method = idempotent ? HttpMethod.GET : HttpMethod.POST;
        byte[] body = new byte[idempotent ? 0 : BODY_BYTES];
        return new InboundRequest(
                id, method, CLIENT_PATH, headers, body, null, requestClass, 0, null, REQUEST_TIMEOUT_MICROS, -1, false);
    }

    private void completed() {
        completed++;
        if (completed >= totalRequests) {
            end();
        } else if (!ended) {
            loop.execute(this::sendNext);
        }
    }

    private void end() {
        if (!ended) {
            ended = true;
            sent = totalRequests;
            dispatcher.retire();
            clients.close();
            upstreams.close();
            onEnd.run();
        }
    }
}
