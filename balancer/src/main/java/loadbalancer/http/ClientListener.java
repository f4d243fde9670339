package loadbalancer.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import loadbalancer.dispatch.InboundRequest;
import loadbalancer.dispatch.RequestDispatcher;
import loadbalancer.dispatch.RequestHandler;
import loadbalancer.process.DescriptorBudget;
import loadbalancer.process.WarmUp;
import loadbalancer.settings.SettingsReader;
import loadbalancer.upstream.ResponseReader;

/** The side to the clients: takes connections, hands requests over, and words each one's final answer. */
public final class ClientListener {
    private static final int BACKLOG = 1024;
    private static final long LOOK_MS = 200; // between looks at what takes too long
    // After a stop: what comes later might still be unanswered when the process is killed.
    private static final long LATE = TimeUnit.MILLISECONDS.toNanos(650);
    private static final long FRESH = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long STUCK = TimeUnit.MILLISECONDS.toNanos(700);
    private static final long LONG_REST = TimeUnit.SECONDS.toNanos(1);
    public static final long ROOM = 6 << 20; // bytes of bodies of clients held together

    private final EventLoop loop;
    private SettingsReader.Boot boot;
    private RequestHandler desk;
    private final DescriptorBudget descriptors;
    private final BooleanSupplier shedIdleUpstream;
    private final LongSupplier unread;
    private final BodyMemoryBudget room = new BodyMemoryBudget(ROOM);
    private final Set<ClientConnection> clients = new LinkedHashSet<>(); // the oldest first
    private Channel listener;
    private boolean shared; // the listener is the platform's: never closed here
    private boolean accepting;
    private boolean ready;
    private Supplier<String> note = () -> null;
    private long stoppedAt;
    private boolean stopping;
    private boolean makingRoom;
    private WarmUp rehearsal; // while it is on

    public ClientListener(
            EventLoop loop,
            SettingsReader.Boot boot,
            RequestHandler desk,
            DescriptorBudget descriptors,
            BooleanSupplier shedIdleUpstream,
            LongSupplier unread) {
        this.unread = unread;
        this.loop = loop;
        this.boot = boot;
        this.desk = desk;
        this.descriptors = descriptors;
        this.shedIdleUpstream = shedIdleUpstream;
    }

    /**
     * Listens; called from another thread than the loop's, and returns the address in use.
     *
     * @param inherited the socket to take connections from, or null to bind one
     * @param accept whether to take connections at once, not only from {@link #accept} on
     */
    public InetSocketAddress listen(InetSocketAddress at, ServerSocketChannel inherited, boolean accept)
            throws IOException {
        shared = inherited != null;
        accepting = accept;
        try {
            ServerBootstrap server = server().channelFactory(() ->
                            inherited == null ? new NioServerSocketChannel() : new NioServerSocketChannel(inherited))
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    // Known before it listens: on a slow machine a connection came in before bind had returned
                    // to the starting thread, found no listener, and was dropped unanswered.
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            listener = channel;
                        }
                    })
                    .childOption(ChannelOption.RCVBUF_ALLOCATOR, ReadBufferSettings.allocator())
                    .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, ReadBufferSettings.WAITING)
                    .option(ChannelOption.AUTO_READ, accept);
            ChannelFuture listening = inherited != null
                    ? server.register()
                    : server.option(ChannelOption.SO_BACKLOG, BACKLOG)
                            .option(ChannelOption.SO_REUSEADDR, true)
                            .bind(at);
            Channel bound = listening.sync().channel();
            loop.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
            return (InetSocketAddress) bound.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    /** Listens for a rehearsal's own connections; what it returns is closed when that is over. */
    public Channel listenAside(UnixDomainSocketAddress at) throws IOException {
        try {
            return server().channel(NioServerDomainSocketChannel.class)
                    .bind(at)
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private ServerBootstrap server() {
        return new ServerBootstrap().group(loop, loop).childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                opened(channel);
            }
        });
    }

    /** Reads requests by new settings from here on. */
    public void reconfigure(SettingsReader.Boot next) {
        boot = next;
    }

    /** Hands requests over there from here on. */
    public void to(RequestHandler other) {
        desk = other;
    }

    /** For how long what is read now may have lain unread, in µs. */
    public long unread() {
        return unread.getAsLong();
    }

    /** Takes connections from here on. */
    public void accept() {
        accepting = !stopping || !shared;
        makeRoom();
    }

    /** What {@code /-/ready} says beside that it is. */
    public void note(Supplier<String> of) {
        note = of;
    }

    public void ready() {
        ready = !stopping;
    }

    /** Serves a rehearsal's requests as well; null when it is over. */
    public void rehearse(WarmUp with) {
        rehearsal = with;
    }

    /** From here on answers end their connections; new ones are still taken. */
    public void stopping() {
        ready = false;
        stopping = true;
        stoppedAt = System.nanoTime();
        if (shared) {
            accepting = false; // whoever comes now is the other process's
            listener.config().setAutoRead(false);
        }
    }

    /** Whether an answer is being passed on. */
    public boolean isStreaming() {
        return clients.stream().anyMatch(ClientConnection::isStreaming);
    }

    /** Whether all connections have ended. */
    public boolean isEmpty() {
        return clients.isEmpty();
    }

    /** Whether a client has yet to get an answer, or all of one. */
    public boolean owe() {
        return clients.stream().anyMatch(ClientConnection::owes);
    }

    public boolean isStopping() {
        return stopping;
    }

    public BodyMemoryBudget room() {
        return room;
    }

    /** Takes no more connections, drops those that hold no request, and refuses what is not whole. */
    public void close() {
        if (listener != null && !shared) {
            listener.close();
        }
        long now = System.nanoTime();
        List.copyOf(clients).stream().filter(c -> c.restedFor(now) >= 0).forEach(ClientConnection::close);
        if (!shared) {
            List.copyOf(clients).forEach(ClientConnection::giveUpPart);
        }
    }

    // ---------------------------------------------------------------- connections

    private void opened(Channel channel) {
        ClientConnection client = new ClientConnection(this, channel);
        descriptors.clientOpened();
        makeRoom();
        clients.add(client);
        channel.closeFuture().addListener(closed -> {
            descriptors.clientClosed();
            clients.remove(client);
            client.closed();
            makeRoom();
        });
    }

    private void look() {
        long now = System.nanoTime();
        List.copyOf(clients).forEach(c -> c.look(now));
        makeRoom();
    }

    // Makes room before an accept can fail. Guards against the end of the descriptors, and against clients
    // that take them all and leave none for the upstreams: at last new connections wait in the backlog.
    private void makeRoom() {
        if (makingRoom) {
            return; // what it closes tells of its end here
        }
        makingRoom = true;
        boolean room = true;
        while (descriptors.crowded() && room) {
            room = shed(descriptors.full());
        }
        makingRoom = false;
        if (listener != null && listener.isOpen()) {
            listener.config().setAutoRead(accepting && !descriptors.crowded());
        }
    }

    /** Closes what is needed least, to an upstream or of a client; false where all are in use. */
    public boolean shed() {
        return shed(true);
    }

    // Clients that have never asked go first: a few hundred of them, opened at once, shut everybody else out,
    // and had the connections to the upstreams closed one by one. Then go clients that have long been at
    // rest, and at last those that have stopped in the middle of a request. One that has only just come is
    // left alone: its request is on the way, as a rule. Where clients alone are too many, a connection to an
    // upstream is no help: all of them were closed in vain, and each request paid for a new one.
    private boolean shed(boolean upstreamsToo) {
        long now = System.nanoTime();
        ClientConnection longest = null;
        ClientConnection stuck = null;
        long most = FRESH;
        long silent = STUCK;
        for (ClientConnection client : clients) {
            long rest = client.restedFor(now);
            if (rest > FRESH && !client.asked()) {
                client.close();
                return true;
            }
            if (rest > most) {
                most = rest;
                longest = client;
            }
            if (client.stuckFor(now) > silent) {
                silent = client.stuckFor(now);
                stuck = client;
            }
        }
        if (upstreamsToo && most < LONG_REST && shedIdleUpstream.getAsBoolean()) {
            return true;
        }
        ClientConnection least = longest != null ? longest : stuck;
        if (least != null) {
            least.close();
        }
        return least != null;
    }

    // ---------------------------------------------------------------- requests

    public void serve(ClientConnection client, HttpRequest request, byte[] body, BodyStream rest, long waited) {
        boolean keep = HttpUtil.isKeepAlive(request);
        String path = request.uri();
        boolean rehearsing = rehearsal != null && rehearsal.knows(request.headers());
        if (rehearsing && path.equals(WarmUp.HOP)) {
            boolean declined = rehearsal.declines();
            client.write(
                    declined ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
                    Unpooled.wrappedBuffer(new byte[256]),
                    null,
                    declined ? "Srv-Declined" : "Srv-Load",
                    declined ? "1" : "TEXT eps=0.1, latency_ms=14.5, inflight=2",
                    keep);
        } else if (path.startsWith("/-/") && !(rehearsing && path.equals(WarmUp.PATH))) {
            boolean asked = path.equals("/-/ready") && request.method().equals(HttpMethod.GET);
            HttpResponseStatus status = !asked
                    ? HttpResponseStatus.NOT_FOUND
                    : ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            String more = note.get();
            client.plain(
                    status,
                    !asked ? "not found" : !ready ? "not ready" : more == null ? "ready" : "ready; " + more,
                    keep);
        } else {
            if (stopping && System.nanoTime() - stoppedAt > LATE) {
                client.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping: trying again is harmless");
                return;
            }
            InboundRequest order;
            try {
                order = RequestValidator.order(request, body, rest, boot);
                // The client's time runs from its last byte on, not from when somebody here had time to look at it.
                order = rest == null ? order.within(Math.max(0, order.timeLeft() - waited)) : order;
            } catch (IllegalArgumentException e) {
                client.refuse(HttpResponseStatus.BAD_REQUEST, e.getMessage());
                return;
            }
            RequestHandler to = path.equals(WarmUp.PATH) ? rehearsal.dispatcher() : desk;
            if (to.holds(order.id())) {
                // An upstream could not tell the two apart, and might answer one with the other's.
                client.refuse(HttpResponseStatus.CONFLICT, "a request with this Req-Id is open");
                return;
            }
            Answer answer = new Answer(client, keep, request.protocolVersion().equals(HttpVersion.HTTP_1_1));
            Runnable leave = to.take(path.equals(WarmUp.PATH) ? order.to(WarmUp.HOP) : order, answer);
            if (!answer.given) {
                client.owed(leave);
            }
        }
    }

    /** The final answer to one request; the dispatcher gives it once. */
    private static final class Answer implements RequestDispatcher.Reply {
        private final ClientConnection client;
        private final boolean keep;
        private final boolean chunks; // its client understands them
        private boolean given;

        public Answer(ClientConnection client, boolean keep, boolean chunks) {
            this.chunks = chunks;
            this.client = client;
            this.keep = keep;
        }

        @Override
        public void serve(ResponseReader.Answer answer) {
            given = true;
            if (answer.rest() != null) {
                client.stream(answer, keep, chunks);
                return;
            }
            client.write(HttpResponseStatus.OK, Unpooled.wrappedBuffer(answer.body()), answer.type(), null, null, keep);
        }

        @Override
        public void refuse(long retryAfter) {
            given = true;
            String seconds = retryAfter <= 0 ? null : String.format(Locale.ROOT, "%.3f", retryAfter / 1e6);
            client.write(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    Unpooled.copiedBuffer("refused: trying again is harmless\n", StandardCharsets.UTF_8),
                    "text/plain",
                    "Retry-After",
                    seconds,
                    keep);
        }

        @Override
        public void reject(HttpResponseStatus status, String why) {
            given = true;
            client.plain(status, why, keep);
        }

        @Override
        public void fail() {
            given = true;
            client.plain(HttpResponseStatus.BAD_GATEWAY, "failed", keep);
        }
    }
}
