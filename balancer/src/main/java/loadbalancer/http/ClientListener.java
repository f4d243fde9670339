package loadbalancer.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import loadbalancer.dispatch.RequestHandler;
import loadbalancer.settings.BootSettings;
import loadbalancer.transport.BodyMemoryBudget;
import loadbalancer.transport.ChannelBufferSettings;

/**
 * Listens for clients and accepts their connections while there is capacity, from its start to its orderly stop. All
 * methods are for the event loop's thread, but for {@link #listen} and {@link #listenForWarmUp}.
 */
public final class ClientListener {
    /** The memory that the bodies of all clients' requests may take together. */
    public static final long MAX_BODY_MEMORY_BYTES = 6 << 20;

    private static final int BACKLOG = 1024;
    private static final long TIMEOUT_CHECK_MILLIS = 200;

    private final EventLoop loop;
    private final ServingState servingState = new ServingState();
    private final ClientRequestHandler requestHandler;
    private final ClientConnections connections;
    private Channel listener;
    private boolean inherited; // the platform holds the listener: it is never closed here
    private boolean accepting;

    /**
     * Creates a listener that does not listen yet.
     *
     * @param requestHandler gets the clients' requests
     * @param closeIdleUpstream closes an idle connection to an upstream; false where there is none
     * @param unreadMicros for how long what is being read now may have lain unread
     */
    public ClientListener(
            EventLoop loop,
            BootSettings siteSettings,
            RequestHandler requestHandler,
            ClientConnectionBudget budget,
            BooleanSupplier closeIdleUpstream,
            LongSupplier unreadMicros) {
        this.loop = loop;
        this.requestHandler = new ClientRequestHandler(servingState, siteSettings, requestHandler, unreadMicros);
        this.connections = new ClientConnections(
                this.requestHandler,
                new BodyMemoryBudget(MAX_BODY_MEMORY_BYTES),
                budget,
                closeIdleUpstream,
                this::updateAutoRead);
    }

    // ---- start

    /**
     * Listens, and returns the address in use. Not for the event loop's thread.
     *
     * @param inheritedListener the socket to accept connections from, or null to bind one
     * @param accept whether to accept connections at once, not only from {@link #startAccepting} on
     * @throws IOException if interrupted; what binding fails with is thrown as it is
     */
    public InetSocketAddress listen(InetSocketAddress address, ServerSocketChannel inheritedListener, boolean accept)
            throws IOException {
        inherited = inheritedListener != null;
        accepting = accept;
        try {
            ServerBootstrap server = clientBootstrap(inheritedListener, accept);
            ChannelFuture listening = inherited
                    ? server.register()
                    : server.option(ChannelOption.SO_BACKLOG, BACKLOG)
                            .option(ChannelOption.SO_REUSEADDR, true)
                            .bind(address);
            Channel bound = listening.sync().channel();
            loop.scheduleWithFixedDelay(
                    connections::checkTimeouts, TIMEOUT_CHECK_MILLIS, TIMEOUT_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return (InetSocketAddress) bound.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    private ServerBootstrap clientBootstrap(ServerSocketChannel inheritedListener, boolean accept) {
        return bootstrap()
                .channelFactory(() -> inheritedListener == null
                        ? new NioServerSocketChannel()
                        : new NioServerSocketChannel(inheritedListener))
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Set before it listens: a connection may be accepted before bind has returned to the starting thread.
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        listener = channel;
                    }
                })
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ChannelBufferSettings.receiveBufferAllocator())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, ChannelBufferSettings.WRITE_WATER_MARK)
                .option(ChannelOption.AUTO_READ, accept);
    }

    /**
     * Listens for the connections of the warm-up; the caller closes the channel. Not for the event loop's thread.
     *
     * @throws IOException if interrupted
     */
    public Channel listenForWarmUp(UnixDomainSocketAddress address) throws IOException {
        try {
            return bootstrap()
                    .channel(NioServerDomainSocketChannel.class)
                    .bind(address)
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap().group(loop, loop).childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                connections.add(channel);
            }
        });
    }

    /** Accepts connections from here on. */
    public void startAccepting() {
        accepting = !servingState.isStopping() || !inherited;
        connections.ensureCapacity();
    }

    private void updateAutoRead() {
        if (listener != null && listener.isOpen()) {
            listener.config().setAutoRead(accepting && connections.hasCapacity());
        }
    }

    // ---- requests

    /** Reads requests by new settings from here on. */
    public void reconfigure(BootSettings next) {
        requestHandler.reconfigure(next);
    }

    /** Hands requests over to {@code next} from here on. */
    public void setRequestHandler(RequestHandler next) {
        requestHandler.setRequestHandler(next);
    }

    /** Serves the requests of a warm-up as well, or of none where {@code traffic} is null. */
    public void setWarmUp(WarmUpTraffic traffic) {
        requestHandler.setWarmUp(traffic);
    }

    /** Says from here on that the process is ready, unless it is stopping. */
    public void markReady() {
        servingState.markReady();
    }

    /** Says what {@code note} returns, where that is not null, beside that the process is ready. */
    public void setReadinessNote(Supplier<String> note) {
        servingState.setReadinessNote(note);
    }

    /**
     * Closes the connection that is needed least, to an upstream or of a client; returns false where all are in use.
     */
    public boolean closeLeastNeeded() {
        return connections.closeLeastNeeded(true);
    }

    // ---- stop

    /**
     * Ends each connection with its next response from here on; new connections are accepted where nobody else does.
     */
    public void startStopping() {
        servingState.startStopping();
        if (inherited) {
            accepting = false; // new connections are those of the process that listens on the same socket
            listener.config().setAutoRead(false);
        }
    }

    /** Returns whether {@link #startStopping} has been called. */
    public boolean isStopping() {
        return servingState.isStopping();
    }

    /** Accepts no more connections, closes the idle ones, and refuses requests that are not whole. */
    public void close() {
        if (listener != null && !inherited) {
            listener.close();
        }
        connections.closeIdle();
        if (!inherited) {
            connections.refuseIncomplete();
        }
    }

    /** Returns whether a response is being streamed to a client. */
    public boolean isStreaming() {
        return connections.hasStreaming();
    }

    /** Returns whether all connections have ended. */
    public boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Returns whether a client has yet to get a response, or all of one. */
    public boolean hasPendingResponses() {
        return connections.hasPendingResponses();
    }
}
