package loadbalancer.simulator.sockets;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.Idempotency;
import loadbalancer.simulator.engine.RandomStream;
import loadbalancer.simulator.engine.RandomStreams;
import loadbalancer.simulator.world.WorldPlan;
import org.HdrHistogram.Histogram;

/**
 * Clients with an open loop: each request has the time at which it should be sent, and its latency counts from there,
 * whether or not a connection was free then, so a slow server can't slow its own measurement down (Tene's "coordinated
 * omission"). Requests are tried again where that is harmless, at the next balancer. One event loop.
 */
public final class Load implements AutoCloseable {
    private static final int CONNECTIONS_MOST = 2_000;
    private static final int BODY_MOST = 1 << 20;
    private static final long LONGEST = 60_000_000;
    private static final long STEP_US = 500;

    /** What the clients want: so many first tries a second over that time, further tries where harmless. */
    public record Plan(
            List<InetSocketAddress> balancers, double perSecond, long micros, int tries, int keys, long seed) {}

    /** What one client's request came to. {@code ids}: of its tries, in order. */
    public record Outcome(int kind, long second, boolean served, long micros, int status, List<String> ids) {}

    private static final class Want {
        final int kind;
        final String key;
        final long intended;
        final long deadline;
        final List<String> ids = new ArrayList<>(1);
        int balancer;

        Want(int kind, String key, long intended, long deadline, int balancer) {
            this.kind = kind;
            this.key = key;
            this.intended = intended;
            this.deadline = deadline;
            this.balancer = balancer;
        }
    }

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final Plan plan;
    private final List<WorldPlan.RequestClassPlan> kinds;
    private final List<ArrayDeque<Channel>> idle = new ArrayList<>();
    private final Histogram[] latencies;
    private final List<Outcome> outcomes = new ArrayList<>();
    private final Map<Integer, Long> statuses = new TreeMap<>();
    private final RandomStream random;
    private final CountDownLatch over = new CountDownLatch(1);
    private final long began = System.nanoTime();
    private double next;
    private long number;
    private long open;
    private int connections;

    /** Clients of those kinds; nothing is sent before {@link #run}. */
    public Load(Plan plan, List<WorldPlan.RequestClassPlan> kinds) {
        this.plan = plan;
        this.kinds = kinds;
        this.random = new RandomStreams(plan.seed).of("load", 0, "arrivals");
        plan.balancers.forEach(b -> idle.add(new ArrayDeque<>()));
        latencies = kinds.stream().map(k -> new Histogram(LONGEST, 3)).toArray(Histogram[]::new);
    }

    private long now() {
        return (System.nanoTime() - began) / 1000;
    }

    /** Plays it to its end; {@code second} is called after each second, on the clients' thread. */
    public void run(Runnable second) throws InterruptedException {
        next = now();
        double end = next + plan.micros;
        loop.scheduleAtFixedRate(
                () -> {
                    while (next <= now() && next < end) {
                        arrive(Math.round(next));
                        next += random.exponential(1e6 / plan.perSecond);
                    }
                    if (next >= end && (open == 0 || now() > end + 5_000_000)) {
                        over.countDown();
                    }
                },
                0,
                STEP_US,
                TimeUnit.MICROSECONDS);
        loop.scheduleAtFixedRate(second, 1, 1, TimeUnit.SECONDS);
        over.await();
    }

    private void arrive(long intended) {
        double u = random.uniform()
                * kinds.stream().mapToDouble(k -> k.share().midpoint()).sum();
        int kind = 0;
        while (kind < kinds.size() - 1 && u >= kinds.get(kind).share().midpoint()) {
            u -= kinds.get(kind++).share().midpoint();
        }
        String key = "k" + (int) (plan.keys * Math.pow(random.uniform(), 2));
        open++;
        send(new Want(kind, key, intended, intended + kinds.get(kind).deadline(), random.below(plan.balancers.size())));
    }

    private void send(Want pending) {
        long left = pending.deadline - now();
        if (left < 1_000) {
            done(pending, 0);
            return;
        }
        pending.ids.add("L" + ++number);
        for (Channel channel = idle.get(pending.balancer).pollLast();
                channel != null;
                channel = idle.get(pending.balancer).pollLast()) {
            if (channel.isActive()) {
                channel.pipeline().get(Talk.class).ask(pending);
                return;
            }
        }
        if (connections >= CONNECTIONS_MOST) {
            done(pending, 0);
            return;
        }
        connections++;
        Talk talk = new Talk(pending);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(BODY_MOST), talk);
                        channel.closeFuture().addListener(closed -> connections--);
                    }
                })
                .connect(plan.balancers.get(pending.balancer))
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        talk.want = null;
                        again(pending, -1);
                    }
                });
    }

    // A refusal and a connection that never came up are harmless; anything else only for what may be repeated.
    private void again(Want pending, int status) {
        boolean harmless =
                status == 503 || status == -1 || kinds.get(pending.kind).effect() == Idempotency.IDEMPOTENT;
        if (harmless && pending.ids.size() < plan.tries) {
            pending.balancer = (pending.balancer + 1) % plan.balancers.size();
            long wait = Math.round(random.exponential(20_000.0 * pending.ids.size()));
            loop.schedule(() -> send(pending), wait, TimeUnit.MICROSECONDS);
        } else {
            done(pending, Math.max(0, status));
        }
    }

    private void done(Want pending, int status) {
        open--;
        long micros = now() - pending.intended;
        boolean served = status == 200;
        statuses.merge(status, 1L, Long::sum);
        if (served) {
            latencies[pending.kind].recordValue(Math.max(1, Math.min(LONGEST, micros)));
        }
        outcomes.add(new Outcome(
                pending.kind, pending.intended / 1_000_000, served, micros, status, List.copyOf(pending.ids)));
    }

    private final class Talk extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Want want;
        private Channel channel;

        Talk(Want first) {
            this.want = first;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            if (want != null) {
                ask(want);
            }
        }

        void ask(Want pending) {
            want = pending;
            WorldPlan.RequestClassPlan kind = kinds.get(pending.kind);
            boolean safe = kind.effect() == Idempotency.IDEMPOTENT;
            byte[] body =
                    safe ? new byte[0] : ("{\"seat\":\"" + pending.key + "\"}").getBytes(StandardCharsets.US_ASCII);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/api/" + pending.key,
                    Unpooled.wrappedBuffer(body));
            request.headers()
                    .set(HttpHeaderNames.HOST, "lab")
                    .set("Req-Id", pending.ids.get(pending.ids.size() - 1))
                    .set("Req-Kind", kind.name())
                    .set("Req-Deadline-Ms", Math.max(1, (pending.deadline - now()) / 1000));
            if (!safe) {
                HttpUtil.setContentLength(request, body.length);
            }
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            Want pending = want;
            want = null;
            if (HttpUtil.isKeepAlive(answer)) {
                if (pending != null) {
                    idle.get(pending.balancer).addLast(channel);
                }
            } else {
                context.close();
            }
            if (pending != null && answer.status().code() == 200) {
                done(pending, 200);
            } else if (pending != null) {
                again(pending, answer.status().code());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            Want pending = want;
            want = null;
            if (pending != null) {
                again(pending, 0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** What each request came to; after {@link #run}. */
    public List<Outcome> outcomes() {
        return List.copyOf(outcomes);
    }

    /** Latencies of what was served of a class, from the intended start, in µs. */
    public Histogram latencies(int kind) {
        return latencies[kind];
    }

    /** Requests by their last status; 0: none in time. */
    public Map<Integer, Long> statuses() {
        return Map.copyOf(statuses);
    }

    /** Requests that have their end so far; on the clients' thread only. */
    public int ended() {
        return outcomes.size();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2_000);
    }
}
