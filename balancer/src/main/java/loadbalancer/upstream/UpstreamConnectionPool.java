package loadbalancer.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import loadbalancer.discovery.EndpointList;
import loadbalancer.dispatch.InboundRequest;
import loadbalancer.http.BodyStream;
import loadbalancer.http.ReadBufferSettings;
import loadbalancer.http.RequestValidator;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.LoadReport;
import loadbalancer.settings.SettingsReader;
import loadbalancer.wire.LoadReportParser;

/** The connections to the upstreams, one request at a time on each, and what becomes of each request. */
public final class UpstreamConnectionPool {
    private static final double IDLE_SHARE = 0.5; // of the time after which upstreams close an idle one
    private static final long DRAIN_MARGIN = 50_000; // µs before the grace is over: the clock is not shared
    private static final long FORGET = 60_000_000; // µs after its grace that a stopped upstream is kept
    private static final int CONNECT_MS = 1_000; // where the settings give no limit
    private static final long SETTLE = 10_000; // µs after an answer in which a second one may still come

    /** How a request to an upstream ended; {@code answer} is null where none came. */
    public interface Listener {
        void ended(AttemptOutcome outcome, ResponseReader.Answer answer, LoadReport load);
    }

    private static final class Upstream {
        public final String id;
        public InetSocketAddress endpoint;
        public long stopAt = Long.MAX_VALUE; // when the grace of its drain is over
        public final ArrayDeque<Connection> idle = new ArrayDeque<>(); // the most recently used last

        public Upstream(String id) {
            this.id = id;
        }
    }

    private final EventLoop loop;
    private SettingsReader.Boot boot;
    private final ConnectionBudget descriptors;
    private final LongSupplier clock;
    private final Bootstrap bootstrap;
    private final UnixDomainSocketAddress via;
    private long idleMost;
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final Future<?> sweep;
    private BooleanSupplier shed = this::shedIdle;

    public UpstreamConnectionPool(
            EventLoop loop, SettingsReader.Boot boot, ConnectionBudget descriptors, LongSupplier clock) {
        this(loop, boot, descriptors, clock, null);
    }

    /** {@code via} is where all upstreams are reached, in place of their own addresses; may be null. */
    public UpstreamConnectionPool(
            EventLoop loop,
            SettingsReader.Boot boot,
            ConnectionBudget descriptors,
            LongSupplier clock,
            UnixDomainSocketAddress via) {
        this.via = via;
        this.loop = loop;
        this.boot = boot;
        this.descriptors = descriptors;
        this.clock = clock;
        this.idleMost = idleMost();
        this.bootstrap = (via != null
                        ? new Bootstrap().channel(NioDomainSocketChannel.class)
                        : new Bootstrap().channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true))
                .option(ChannelOption.RCVBUF_ALLOCATOR, ReadBufferSettings.allocator())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, ReadBufferSettings.WAITING)
                .group(loop);
        long every = Math.max(10_000, Math.min(1_000_000, idleMost / 10));
        sweep = loop.scheduleWithFixedDelay(this::closeOld, every, every, TimeUnit.MICROSECONDS);
    }

    /** {@code by} makes room for a connection where all descriptors are in use, if it can. */
    public void shedBy(BooleanSupplier by) {
        shed = by;
    }

    /** Keeps to new settings from here on. */
    public void reconfigure(SettingsReader.Boot next) {
        boot = next;
        idleMost = idleMost();
    }

    private long idleMost() {
        return boot.idleClose() > 0 ? (long) (boot.idleClose() * IDLE_SHARE) : Long.MAX_VALUE;
    }

    private int connectMillis() {
        long limit = boot.settings().limits().connectTimeoutMicros();
        return limit > 0 ? (int) Math.max(1, Math.min(Integer.MAX_VALUE, limit / 1000)) : CONNECT_MS;
    }

    // ---------------------------------------------------------------- the list

    public void listed(EndpointList targets, long at) {
        long now = Math.min(at, targets.notifiedAtMicros()); // from when on the grace of a drain counts
        Set<String> named = new HashSet<>();
        for (EndpointList.Entry t : targets.entries()) {
            named.add(t.endpoint().id());
            Upstream u = upstreams.computeIfAbsent(t.endpoint().id(), Upstream::new);
            if (t.address() != null && !t.address().equals(u.endpoint)) {
                closeIdle(u);
                u.endpoint = t.address();
            }
            if (t.endpoint().state() == EndpointState.UP) {
                u.stopAt = Long.MAX_VALUE;
            } else {
                stop(u, now);
            }
        }
        if (targets.complete()) {
            upstreams.values().stream().filter(u -> !named.contains(u.id)).forEach(u -> stop(u, now));
        }
    }

    private void stop(Upstream u, long now) {
        long grace = boot.settings().bounds().drainGracePeriodMicros();
        u.stopAt = Math.min(u.stopAt, now + Math.max(0, grace - Math.min(DRAIN_MARGIN, grace / 2)));
        closeIdle(u);
    }

    // ---------------------------------------------------------------- attempts and probes

    /** Sends a request; {@code wait} is how long the balancer will wait for its answer, in µs. */
    public Call send(String server, InboundRequest order, long wait, Listener listener) {
        return start(server, new Call(order, Math.max(1, wait / 1000), listener));
    }

    /** Asks an upstream how it is; gives up after the time that a connection may take. */
    public void probe(String server, boolean report, Listener listener) {
        InboundRequest order = new InboundRequest(
                "",
                HttpMethod.GET,
                report ? "/-/load" : "/-/healthy",
                EmptyHttpHeaders.INSTANCE,
                new byte[0],
                null,
                -1,
                0,
                null,
                0,
                -1,
                false);
        Call call = new Call(order, 0, listener);
        call.timer = loop.schedule(
                () -> {
                    boolean asked = call.giveUp();
                    listener.ended(asked ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED, null, null);
                },
                connectMillis(),
                TimeUnit.MILLISECONDS);
        start(server, call);
    }

    private Call start(String server, Call call) {
        Upstream u = upstreams.get(server);
        if (u == null || u.endpoint == null || clock.getAsLong() >= u.stopAt) {
            call.end(AttemptOutcome.NOT_SENT, null, null);
            return call;
        }
        Connection ready = idle(u);
        if (ready == null) {
            dial(u, call);
        } else if (ready.unsettled() == 0) {
            ready.write(call);
        } else {
            ready.settle(call);
        }
        return call;
    }

    // The most recently used of those that have settled: so the others grow old and are closed. Where none has, the
    // one that soon will.
    private static Connection idle(Upstream u) {
        Connection soonest = null;
        for (Iterator<Connection> i = u.idle.descendingIterator(); i.hasNext(); ) {
            Connection c = i.next();
            if (!c.usable()) {
                i.remove();
                c.close();
            } else if (c.unsettled() == 0) {
                i.remove();
                return c;
            } else {
                soonest = c;
            }
        }
        if (soonest != null) {
            u.idle.remove(soonest);
        }
        return soonest;
    }

    private void dial(Upstream u, Call call) {
        if (descriptors.full() && !shed.getAsBoolean()) {
            call.end(AttemptOutcome.CONNECT_FAILED, null, null);
            return;
        }
        Connection connection = new Connection(u);
        connection.call = call;
        call.connection = connection;
        descriptors.opened();
        ChannelFuture connected = bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        connection.reader.decoder(),
                                        connection.reader,
                                        connection.gate());
                    }
                })
                .connect(via != null ? via : u.endpoint);
        connection.channel = connected.channel();
        if (!connection.channel.isRegistered()) {
            // The system has no descriptor left, whatever is counted here. It has no loop to tell of its end.
            descriptors.closed();
            call.end(AttemptOutcome.CONNECT_FAILED, null, null);
            return;
        }
        connection.channel.closeFuture().addListener(closed -> connection.closed());
        connected.addListener(done -> {
            if (!done.isSuccess()) {
                connection.finish(AttemptOutcome.CONNECT_FAILED, null, null);
                connection.channel.close();
            } else {
                connection.begin();
            }
        });
    }

    // ---------------------------------------------------------------- idle connections

    public void closeIdle(String server) {
        Upstream u = upstreams.get(server);
        if (u != null) {
            closeIdle(u);
        }
    }

    private static void closeIdle(Upstream u) {
        for (Connection c = u.idle.pollFirst(); c != null; c = u.idle.pollFirst()) {
            c.close();
        }
    }

    // Closes connections well before their upstream does: a request written to a dying one is a reset, which
    // may have run, and most classes can't be sent again then.
    private void closeOld() {
        // Guards against a table that grows with every machine that comes and goes.
        long now = clock.getAsLong();
        upstreams.values().removeIf(u -> u.stopAt < now - FORGET);
        for (Upstream u : upstreams.values()) {
            while (!u.idle.isEmpty() && !u.idle.peekFirst().usable()) {
                u.idle.pollFirst().close();
            }
        }
    }

    /** Closes all that is idle, now and from here on. */
    public void close() {
        sweep.cancel(false);
        for (Upstream u : upstreams.values()) {
            u.stopAt = Long.MIN_VALUE;
            closeIdle(u);
        }
    }

    /** Closes the connection that has been idle for longest; false where none is. */
    public boolean shedIdle() {
        Connection oldest = null;
        for (Upstream u : upstreams.values()) {
            Connection c = u.idle.peekFirst();
            if (c != null && (oldest == null || c.idleSince < oldest.idleSince)) {
                oldest = c;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.upstream.idle.pollFirst();
        oldest.close();
        return true;
    }

    /** A request on its way to an upstream. */
    public static final class Call {
        private final InboundRequest order;
        private final long waitMillis; // from when it was made; 0: not told to the upstream
        private final long madeAt = System.nanoTime();
        private final Listener listener;
        private Connection connection;
        private Future<?> timer;
        private boolean ended;

        private Call(InboundRequest order, long waitMillis, Listener listener) {
            this.order = order;
            this.waitMillis = waitMillis;
            this.listener = listener;
        }

        /** Whether nothing of the request has gone to an upstream: it waits for its connection. */
        public boolean waits() {
            return connection != null && !connection.begun;
        }

        /**
         * Stops waiting and tells nobody; a connection that holds any of the request is closed.
         *
         * @return whether the request may have run: its last byte has been written
         */
        public boolean giveUp() {
            Connection c = connection;
            if (ended || c == null) {
                return false;
            }
            ended = true;
            boolean mayHaveRun = c.written;
            c.call = null;
            connection = null;
            if (c.begun) {
                c.close();
            }
            return mayHaveRun;
        }

        private void end(AttemptOutcome outcome, ResponseReader.Answer answer, LoadReport load) {
            if (timer != null) {
                timer.cancel(false);
            }
            if (!ended) {
                ended = true;
                connection = null;
                listener.ended(outcome, answer, load);
            }
        }

        private FullHttpRequest message(InetSocketAddress to) {
            FullHttpRequest message = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, order.method(), order.uri(), Unpooled.wrappedBuffer(order.body()));
            message.headers().add(order.headers());
            if (!message.headers().contains(HttpHeaderNames.HOST)) {
                message.headers().set(HttpHeaderNames.HOST, to.getAddress().getHostAddress() + ":" + to.getPort());
            }
            if (waitMillis > 0) {
                long waited = (System.nanoTime() - madeAt) / 1_000_000; // for its connection
                message.headers().set(RequestValidator.DEADLINE, Long.toString(Math.max(1, waitMillis - waited)));
            }
            if (order.rest() != null) {
                if (order.rest().length() >= 0) {
                    HttpUtil.setContentLength(message, order.rest().length());
                } else {
                    HttpUtil.setTransferEncodingChunked(message, true);
                }
            } else if (order.body().length > 0 || !order.method().equals(HttpMethod.GET)) {
                HttpUtil.setContentLength(message, order.body().length);
            }
            return message;
        }
    }

    /** One connection; it carries one request at a time, and is idle where {@code call} is null. */
    private final class Connection implements ResponseReader.Taker {
        private final Upstream upstream;
        private final InetSocketAddress endpoint;
        private final ResponseReader reader = new ResponseReader(this);
        private Channel channel;
        private Call call;
        private boolean begun; // some of the request may have been written
        private boolean written; // all of it has been
        private boolean active; // it has come up
        private long idleSince;
        private BodyStream upload; // of the last request that was sent here, if it flowed
        private BodyStream download; // of the answer that is being passed on

        public Connection(Upstream upstream) {
            this.upstream = upstream;
            this.endpoint = upstream.endpoint;
        }

        public boolean usable() {
            return channel.isActive() && clock.getAsLong() - idleSince < idleMost;
        }

        /** For how long, in µs, a second answer to the last request may still come. */
        public long unsettled() {
            return Math.max(0, idleSince + SETTLE - clock.getAsLong());
        }

        // Guards against a second answer that comes some milliseconds late: with a request on the connection again it
        // was taken for the answer to that one. The request waits, for a new connection would take no less. The second
        // step lets the loop read what has come meanwhile, also where the loop itself was late.
        public void settle(Call next) {
            call = next;
            next.connection = this;
            loop.schedule(
                    () -> loop.schedule(this::begin, 1, TimeUnit.MILLISECONDS), unsettled(), TimeUnit.MICROSECONDS);
        }

        /** Sends the request that has waited for this connection, if it is still to be sent. */
        public void begin() {
            if (call == null) {
                rest(); // it was given up meanwhile: the handshake is paid for
            } else if (clock.getAsLong() >= upstream.stopAt) {
                // Rule 3: the list changed while it waited.
                finish(AttemptOutcome.NOT_SENT, null, null);
                close();
            } else {
                write(call);
            }
        }

        public void write(Call next) {
            call = next;
            next.connection = this;
            begun = true;
            written = false;
            reader.expect();
            FullHttpRequest message = next.message(endpoint);
            if (next.order.rest() == null) {
                channel.writeAndFlush(message).addListener(done -> left(next, done.isSuccess()));
            } else {
                stream(next, message);
            }
        }

        private void left(Call sent, boolean whole) {
            if (call == sent) {
                written = whole;
                if (!whole) {
                    finish(AttemptOutcome.CONNECT_FAILED, null, null);
                    close();
                }
            }
        }

        // The body follows as its client sends it. Once given up, what still comes of it is dropped.
        private void stream(Call sent, FullHttpRequest message) {
            DefaultHttpRequest head =
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, message.method(), message.uri(), message.headers());
            channel.write(head);
            upload = sent.order.rest();
            upload.to(new BodyStream.Sink() {
                @Override
                public void more(ByteBuf bytes) {
                    if (call == sent) {
                        channel.writeAndFlush(new DefaultHttpContent(bytes));
                    } else {
                        bytes.release();
                    }
                }

                @Override
                public void whole() {
                    if (call == sent) {
                        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                                .addListener(done -> left(sent, done.isSuccess()));
                    }
                }

                @Override
                public void broken() {
                    close();
                }

                @Override
                public boolean hasRoom() {
                    return call != sent || channel.isWritable();
                }
            });
        }

        /** Lets the body that is sent here flow as there is room. */
        public ChannelInboundHandlerAdapter gate() {
            return new ChannelInboundHandlerAdapter() {
                @Override
                public void channelActive(ChannelHandlerContext context) {
                    active = true;
                }

                @Override
                public void channelInactive(ChannelHandlerContext context) {
                    over();
                }

                @Override
                public void channelWritabilityChanged(ChannelHandlerContext context) {
                    if (upload != null) {
                        upload.roomChanged();
                    }
                }
            };
        }

        public void rest() {
            upload = null;
            begun = false;
            written = false;
            idleSince = clock.getAsLong();
            // Another address now: who listens at the old one is another upstream, if any.
            if (!channel.isActive() || upstream.stopAt < Long.MAX_VALUE || !endpoint.equals(upstream.endpoint)) {
                close();
            } else {
                upstream.idle.addLast(this);
            }
        }

        public void finish(AttemptOutcome outcome, ResponseReader.Answer answer, LoadReport load) {
            Call ending = call;
            call = null;
            if (ending != null) {
                ending.end(outcome, answer, load);
            }
        }

        public void close() {
            channel.close();
        }

        @Override
        public void answered(ResponseReader.Answer answer, boolean usable) {
            Call answered = call;
            call = null;
            // Back among the idle before the module hears of it: its next send may want this one.
            if (written && usable && answered != null) {
                rest();
            } else {
                close();
            }
            if (answered == null) {
                return;
            }
            String report = answer.headers().get("Srv-Load");
            if (report == null && answered.waitMillis == 0) {
                report = new String(answer.body(), StandardCharsets.UTF_8); // of a probe
            }
            answered.end(classify(answer), answer, LoadReportParser.parse(report));
        }

        @Override
        public boolean streams() {
            return call != null && call.waitMillis > 0;
        }

        @Override
        public void begun(ResponseReader.Answer answer) {
            Call answered = call;
            call = null;
            download = answer.rest();
            if (!written || answered == null) {
                download.discard();
                close(); // before the request was whole: no answer to it
            }
            if (answered != null) {
                answered.end(
                        written ? AttemptOutcome.OK : AttemptOutcome.RESET,
                        written ? answer : null,
                        LoadReportParser.parse(answer.headers().get("Srv-Load")));
            }
        }

        @Override
        public void ended(boolean usable) {
            download = null;
            if (usable && channel.isActive()) {
                rest();
            } else {
                close();
            }
        }

        @Override
        public void spoilt() {
            close(); // what became of the request is told in closed()
        }

        // The line between what never ran and what may have is the request's last byte.
        private void closed() {
            descriptors.closed();
            upstream.idle.remove(this);
            if (!active) {
                over();
            }
        }

        // After the reader has heard of the end: it may be the end of an answer.
        private void over() {
            if (download != null) {
                download.breakOff();
            }
            if (upload != null && call != null) {
                upload.discard();
            }
            if (call != null && active && !begun) {
                Call waiting = call; // nothing of it has been here
                call = null;
                dial(upstream, waiting);
                return;
            }
            finish(written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED, null, null);
        }
    }

    // Turned away unseen only where the upstream says so itself; any other failure may have run.
    private static AttemptOutcome classify(ResponseReader.Answer answer) {
        int status = answer.status();
        if (status == 200) {
            return AttemptOutcome.OK;
        }
        boolean declined = "1".equals(answer.headers().get("Srv-Declined"));
        return declined && (status == 503 || status == 504) ? AttemptOutcome.FULL : AttemptOutcome.ERROR;
    }
}
