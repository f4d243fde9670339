package loadbalancer.simulator.sockets;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointState;
import loadbalancer.simulator.world.LiveFleet;
import loadbalancer.simulator.world.WorldPlan;

/**
 * A site on loopback: every upstream of a world behind a port of its own, with the simulated model and its faults,
 * and the discovery service that lists them. Each run of a request is in the ledger. One event loop; all state is the
 * loop's.
 */
public final class LiveSite implements AutoCloseable {
    private static final long STEP_US = 1_000;
    private static final int BODY_MOST = 1 << 20;
    private static final long HOLD_S = 2; // a watch says something that often

    private record Open(Channel channel, String id, int address) {}

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final WorldPlan plan;
    private final LiveFleet fleet;
    private final List<Channel> ports = new ArrayList<>();
    private final Map<Integer, Set<Channel>> connections = new HashMap<>();
    private final Map<Long, Open> open = new HashMap<>();
    private final Map<String, Integer> ran = new HashMap<>();
    private final Set<Channel> watchers = new HashSet<>();
    private final ObjectMapper json = new ObjectMapper();
    private final long unixBegan = System.currentTimeMillis() * 1000;
    private final long nanosBegan = System.nanoTime();
    private final InetSocketAddress register;
    private final Future<?> steps;
    private Map<String, Endpoint> told = new LinkedHashMap<>();
    private long rev = 1;
    private long next;

    /** Opens the site of that plan and seed; its day begins now. */
    public LiveSite(WorldPlan plan, long seed) throws IOException {
        this.plan = plan;
        fleet = new LiveFleet(plan, seed, this::ended);
        try {
            for (int i = 0; i < fleet.addressCount(); i++) {
                ports.add(port(i));
            }
            register = (InetSocketAddress) server().childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline()
                                    .addLast(new HttpServerCodec(), new HttpObjectAggregator(BODY_MOST), new Listing());
                        }
                    })
                    .bind(InetAddress.getLoopbackAddress(), 0)
                    .sync()
                    .channel()
                    .localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
        steps = loop.scheduleAtFixedRate(this::step, 0, STEP_US, TimeUnit.MICROSECONDS);
        loop.scheduleAtFixedRate(() -> watchers.forEach(w -> line(w, "\n")), HOLD_S, HOLD_S, TimeUnit.SECONDS);
    }

    private ServerBootstrap server() {
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true);
    }

    private Channel port(int address) throws InterruptedException {
        return server().childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(BODY_MOST),
                                        new Serving(address));
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel();
    }

    /** Where the discovery service listens. */
    public InetSocketAddress register() {
        return register;
    }

    /** What the fleet can do at its start, in requests a second. */
    public double perSecond() {
        return fleet.capacityPerSecond();
    }

    /** How often each request has run, by its id. */
    public Map<String, Integer> ledger() {
        return loop.submit(() -> Map.copyOf(ran)).syncUninterruptibly().getNow();
    }

    /** The list as balancers should know it at their start, in the discovery service's form. */
    public Map<String, Object> known() {
        return loop.submit(() -> list(told.values(), true))
                .syncUninterruptibly()
                .getNow();
    }

    private long micros() {
        return (System.nanoTime() - nanosBegan) / 1000;
    }

    private void step() {
        try {
            fleet.advance(micros());
            while (ports.size() < fleet.addressCount()) {
                // Bound on the loop itself, so it can't be waited for: its port is known when it has been bound.
                int address = ports.size();
                ports.add(server().childHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpServerCodec(),
                                                new HttpObjectAggregator(BODY_MOST),
                                                new Serving(address));
                            }
                        })
                        .bind(InetAddress.getLoopbackAddress(), 0)
                        .channel());
            }
            connections.forEach((address, some) -> {
                if (!fleet.listens(address) && !some.isEmpty()) {
                    List.copyOf(some).forEach(LiveSite::reset);
                }
            });
            publish();
        } catch (RuntimeException e) {
            System.err.println("site: " + e);
        }
    }

    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    // ---- upstreams

    private final class Serving extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int address;
        private boolean used;

        Serving(int address) {
            this.address = address;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (!fleet.listens(address)) {
                reset(context.channel());
                return;
            }
            connections.computeIfAbsent(address, a -> new HashSet<>()).add(context.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.getOrDefault(address, Set.of()).remove(context.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (fleet.silent(address)) {
                return;
            }
            if (request.uri().startsWith("/-/")) {
                answer(context.channel(), HttpResponseStatus.OK, "ok", false);
                return;
            }
            String id = String.valueOf(request.headers().get("Req-Id"));
            String kind = String.valueOf(request.headers().get("Req-Kind"));
            int number = 0;
            for (int i = 0; i < plan.classes().size(); i++) {
                number = plan.classes().get(i).name().equals(kind) ? i : number;
            }
            String path = request.uri().split("\\?", 2)[0];
            int key = path.substring(path.lastIndexOf('/') + 1).hashCode() & 0xffffff;
            fleet.advance(micros());
            long handle = ++next;
            open.put(handle, new Open(context.channel(), id, address));
            fleet.accept(handle, address, number, key, !used);
            used = true;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void ended(long request, AttemptOutcome outcome) {
        Open o = open.remove(request);
        if (o == null) {
            return;
        }
        switch (outcome) {
            case OK -> {
                ran.merge(o.id, 1, Integer::sum);
                answer(o.channel, HttpResponseStatus.OK, "done", false);
            }
            case FULL -> answer(o.channel, HttpResponseStatus.SERVICE_UNAVAILABLE, "full", true);
            case ERROR -> {
                ran.merge(o.id, 1, Integer::sum);
                answer(o.channel, HttpResponseStatus.INTERNAL_SERVER_ERROR, "error", false);
            }
            default -> {
                ran.merge(o.id, 1, Integer::sum); // it may have run: counted as if it had
                reset(o.channel);
            }
        }
    }

    private void answer(Channel to, HttpResponseStatus status, String body, boolean declined) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
        HttpUtil.setContentLength(response, body.length());
        if (declined) {
            response.headers().set("Srv-Declined", "1");
        }
        to.writeAndFlush(response);
    }

    // ---- the discovery service

    private void publish() {
        Map<String, Endpoint> now = new LinkedHashMap<>();
        fleet.list().keySet().forEach(s -> now.put(s.id(), s));
        List<Endpoint> changes = new ArrayList<>();
        now.values().forEach(s -> {
            boolean bound = ports.get(portOf(s)).localAddress() != null;
            if (bound && !s.equals(told.get(s.id()))) {
                changes.add(s);
            }
        });
        told.values().forEach(s -> {
            if (!now.containsKey(s.id())) {
                changes.add(s.withState(EndpointState.GONE));
            }
        });
        if (changes.isEmpty()) {
            return;
        }
        Map<String, Endpoint> listed = new LinkedHashMap<>(told);
        changes.forEach(s -> {
            if (s.state() == EndpointState.GONE) {
                listed.remove(s.id());
            } else {
                listed.put(s.id(), s);
            }
        });
        told = listed;
        rev++;
        String text = text(list(changes, false));
        watchers.forEach(w -> line(w, text));
    }

    private int portOf(Endpoint endpoint) {
        Integer address = fleet.addressOf(endpoint.id());
        return address == null ? 0 : address;
    }

    private Map<String, Object> list(Iterable<Endpoint> servers, boolean all) {
        List<Map<String, Object>> entries = new ArrayList<>();
        for (Endpoint endpoint : servers) {
            Map<String, Object> e = new LinkedHashMap<>();
            e.put("uid", endpoint.id());
            e.put(
                    "endpoint",
                    "127.0.0.1:"
                            + ((InetSocketAddress) ports.get(portOf(endpoint)).localAddress()).getPort());
            e.put(
                    "state",
                    switch (endpoint.state()) {
                        case UP -> "in_service";
                        case DRAINING -> "terminating";
                        default -> "terminated";
                    });
            e.put(
                    "boot_ms",
                    endpoint.startedAt() <= 0
                            ? 0
                            : (unixBegan + endpoint.startedAt() - loadbalancer.simulator.world.World.dayStart())
                                    / 1000.0);
            e.put("capacity_hint", endpoint.weight());
            e.put("pod_group", endpoint.cell());
            e.put("az", plan.zones().get(endpoint.zone()));
            e.put("model", plan.kinds().get(endpoint.machineKind()).name());
            entries.add(e);
        }
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("rev", rev);
        out.put("all", all);
        out.put("targets", entries);
        return out;
    }

    private String text(Map<String, Object> list) {
        try {
            return json.writeValueAsString(list) + "\n";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void line(Channel to, String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        to.writeAndFlush(new DefaultHttpContent(bytes));
    }

    private final class Listing extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Channel channel = context.channel();
            if (!fleet.discoveryAvailable()) {
                channel.close();
                return;
            }
            if (!request.uri().contains("watch=1")) {
                DefaultFullHttpResponse whole = new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.OK,
                        Unpooled.copiedBuffer(text(list(told.values(), true)), StandardCharsets.UTF_8));
                HttpUtil.setContentLength(whole, whole.content().readableBytes());
                channel.writeAndFlush(whole);
                return;
            }
            DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            HttpUtil.setTransferEncodingChunked(head, true);
            channel.writeAndFlush(head);
            // Whoever watches gets the whole list first: it may come from a discovery service that counted otherwise.
            line(channel, text(list(told.values(), true)));
            watchers.add(channel);
            channel.closeFuture().addListener(closed -> watchers.remove(channel));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    @Override
    public void close() {
        steps.cancel(false);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2_000);
    }
}
