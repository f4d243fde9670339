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
import loadbalancer.settings.SettingsReader;
import loadbalancer.transport.HeaderNames;
import loadbalancer.transport.InboundRequest;
import loadbalancer.upstream.UpstreamConnectionPool;

/**
 * Takes requests of its own through the whole path, over this node's own address, before clients come. Guards
 * against a cold start: with nothing compiled yet a node took hundreds of milliseconds for its first
 * requests, fell behind at once under a full load, and answered some after their deadlines. It has a module,
 * a dispatcher and connections of its own, which end with it, so that the real ones learn nothing from it.
 */
public final class WarmUp implements WarmUpTraffic {
    private static final String TOKEN = "Rehearsal"; // a header with what no stranger knows

    // The more balancers there are, the fewer requests each has to be ready for at once; and the more of them
    // start together after a release, on cores that they share.
    private static final int REQUESTS_OF_ALL = 900;
    private static final int REQUESTS_MOST = 300;
    private static final int REQUESTS_LEAST = 100;
    private static final int AT_ONCE = 8;
    private static final int DECLINED = 3; // every third is turned away in the last part
    private static final int SERVERS = 8;
    private static final long MOST_MS = 4_000; // where the machine is busy
    private static final long WAIT = 1_000_000; // µs for one request

    private final EventLoop loop;
    private final SettingsReader.Boot boot;
    private final Runnable then;
    private final String token;
    private final int requests;
    private final RequestDispatcher dispatcher;
    private final UpstreamConnectionPool back;
    private final UpstreamConnectionPool front;
    private int begun;
    private int ended;
    private int hops;
    private boolean over;

    /**
     * {@code then} runs on the loop when it is over; {@code via} is a way of its own to this node, or null.
     */
    public WarmUp(EventLoop loop, BalancerConfig config, UnixDomainSocketAddress via, Runnable then) {
        this.loop = loop;
        this.boot = config.boot();
        this.then = then;
        this.requests = Math.max(
                REQUESTS_LEAST,
                Math.min(REQUESTS_MOST, REQUESTS_OF_ALL / boot.settings().balancers()));
        this.token = Long.toHexString(new SplittableRandom(config.seed() ^ System.nanoTime()).nextLong());
        LoadBalancingPolicy policy = new JsqDasPolicy(boot.settings(), config.seed());
        dispatcher = new RequestDispatcher(loop, boot, policy, line -> {});
        DescriptorBudget descriptors = new DescriptorBudget(config.sockets());
        back = new UpstreamConnectionPool(loop, boot, descriptors, dispatcher::nowMicros, via);
        front = new UpstreamConnectionPool(loop, boot, descriptors, dispatcher::nowMicros, via);
        dispatcher.attach(back, null);
    }

    @Override
    public RequestHandler requestHandler() {
        return dispatcher;
    }

    @Override
    public boolean matches(HttpHeaders headers) {
        return token.equals(headers.get(TOKEN));
    }

    public void start(InetSocketAddress self) {
        List<EndpointList.Entry> targets = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            Endpoint server = new Endpoint(
                    "rehearsal-" + i,
                    EndpointState.UP,
                    0,
                    1,
                    0,
                    i % 2,
                    boot.settings().zone());
            targets.add(new EndpointList.Entry(server, self));
        }
        EndpointList all = new EndpointList(0, true, targets);
        front.updateEndpoints(all, dispatcher.nowMicros());
        dispatcher.updateEndpoints(EndpointListKind.CACHED, all);
        loop.schedule(this::end, MOST_MS, TimeUnit.MILLISECONDS);
        for (int i = 0; i < AT_ONCE; i++) {
            next();
        }
    }

    @Override
    public boolean declines() {
        hops++;
        return begun > requests / 2 && hops % DECLINED == 0;
    }

    private void next() {
        if (begun >= requests) {
            return;
        }
        int number = begun++ % boot.classes().size();
        Idempotency effect = boot.settings().classes().get(number).idempotency();
        HttpHeaders headers = new DefaultHttpHeaders()
                .set(TOKEN, token)
                .set(HeaderNames.REQUEST_ID, "rehearsal-" + begun)
                .set(HeaderNames.REQUEST_CLASS, boot.classes().get(number))
                .set(HeaderNames.WORK_ESTIMATE_MICROS, Integer.toString(begun));
        if (effect == Idempotency.IDEMPOTENT_WITH_KEY) {
            headers.set(HeaderNames.IDEMPOTENCY_KEY, "rehearsal-" + begun);
        }
        HttpMethod method = effect == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        byte[] body = new byte[effect == Idempotency.IDEMPOTENT ? 0 : 200];
        InboundRequest order = new InboundRequest(
                "rehearsal-" + begun, method, CLIENT_PATH, headers, body, null, number, 0, null, WAIT, -1, false);
        front.send("rehearsal-0", order, WAIT, (outcome, answer, load) -> {
            ended++;
            if (ended >= requests) {
                end();
            } else if (!over) {
                loop.execute(this::next);
            }
        });
    }

    private void end() {
        if (!over) {
            over = true;
            begun = requests;
            dispatcher.retire();
            front.close();
            back.close();
            then.run();
        }
    }
}
