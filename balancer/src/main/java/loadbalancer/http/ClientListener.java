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
import loadbalancer.transport.ChannelBufferSettings;
import loadbalancer.transport.MemoryBudgets;

/**
 * Listens for clients and accepts their connections while there is capacity, until a graceful stop. All methods must be
 * called on the event loop's thread, except for {@link #listen} and {@link #listenForWarmUp}.
 */
public final class ClientListener {
    private static final int BACKLOG = 1024;
    private static final long TIMEOUT_CHECK_MILLIS = 200;

    private final EventLoop loop;
    private final ServingState servingState = new ServingState();
    private final ClientRequestHandler requestHandler;
    private final ClientConnections connections;
    private Channel listener;
    private boolean inherited; // the listening socket was passed to this process, which must not close it
    private boolean accepting;

    /**
     * Creates a listener; {@link #listen} opens its socket.
     *
     * @param requestHandler handles the requests of the clients
     * @param memory limits the heap that clients make the process hold
     * @param closeIdleUpstream closes an idle connection to an upstream; returns false if there is none
     * @param maxUnreadMicros returns the longest time that the data now being read can have waited in the socket's
     *     buffer
     */
    public ClientListener(
            EventLoop loop,
            BootSettings siteSettings,
            RequestHandler requestHandler,
            ClientConnectionBudget budget,
            MemoryBudgets memory,
            BooleanSupplier closeIdleUpstream,
            LongSupplier maxUnreadMicros) {
        this.loop = loop;
        this.requestHandler = new ClientRequestHandler(servingState, siteSettings, requestHandler, maxUnreadMicros);
        this.connections =
                new ClientConnections(this.requestHandler, memory, budget, closeIdleUpstream, this::updateAutoRead);
    }

    // ---- start

    /**
     * Listens, and returns the bound address. Must not be called on the event loop's thread.
     *
     * @param inheritedListener the socket to accept connections from, or null to bind one
     * @param accept whether to accept connections immediately, instead of after {@link #startAccepting}
     * @throws IOException if interrupted; an exception of the bind is thrown unchanged
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
                // The field is set before the socket listens, as a connection may be accepted before bind returns.
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        listener = channel;
                    }
                })
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, ChannelBufferSettings.WRITE_WATER_MARK)
                .option(ChannelOption.AUTO_READ, accept);
    }

    /**
     * Listens for the connections of the warm-up; the caller has to close the channel. Must not be called on the event
     * loop's thread.
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

    /** Starts to accept connections; has no effect on an inherited socket once the process is stopping. */
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

    /** Applies new settings to requests that arrive after this call. */
    public void reconfigure(BootSettings newSettings) {
        requestHandler.reconfigure(newSettings);
    }

    /** Replaces the handler of requests. */
    public void setRequestHandler(RequestHandler newHandler) {
        requestHandler.setRequestHandler(newHandler);
    }

    /** Starts to serve the requests of a warm-up too, or stops it if {@code traffic} is null. */
    public void setWarmUp(WarmUpTraffic traffic) {
        requestHandler.setWarmUp(traffic);
    }

    /** Makes readiness checks report that the process is ready, unless it is stopping. */
    public void markReady() {
        servingState.markReady();
    }

    /** Makes readiness checks of a ready process include the text of {@code note}, if it is not null. */
    public void setReadinessNote(Supplier<String> note) {
        servingState.setReadinessNote(note);
    }

    /**
     * Closes the least needed connection, to an upstream or of a client; returns false if all are in use.
     */
    public boolean closeLeastNeeded() {
        return connections.closeLeastNeeded(true);
    }

    // ---- stop

    /**
     * From now on, each connection is closed after its next response. An inherited socket also stops accepting here,
     * because another process accepts on it; an own socket continues to accept.
     */
    public void beginShutdown() {
        servingState.beginShutdown();
        if (inherited) {
            accepting = false; // another process listens on the same socket
            listener.config().setAutoRead(false);
        }
    }

    /** Returns whether {@link #beginShutdown} has been called. */
    public boolean isStopping() {
        return servingState.isStopping();
    }

    /** Stops accepting connections, closes the idle ones, and rejects incomplete requests. */
    public void close() {
        if (listener != null && !inherited) {
            listener.close();
        }
        connections.closeIdle();
        connections.rejectIncomplete();
    }

    /** Returns whether a response is being streamed to a client. */
    public boolean isStreaming() {
        return connections.hasStreaming();
    }

    /** Returns whether all connections have closed. */
    public boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Returns whether a response is pending, or a client may not have all of its last one yet. */
    public boolean hasPendingResponses() {
        return connections.hasPendingResponses();
    }
}
