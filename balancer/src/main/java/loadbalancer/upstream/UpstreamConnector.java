package loadbalancer.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.UnixDomainSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.settings.BootSettings;
import loadbalancer.transport.ChannelBufferSettings;
import loadbalancer.transport.MemoryBudget;

/**
 * Opens connections within the budget and provides their timeouts. Used on the event loop's thread only.
 */
final class UpstreamConnector {
    private static final int DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;
    /** The idle timeout of a connection, as a fraction of the time after which upstreams close an idle connection. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.5;

    private final EventLoop loop;
    private final ConnectionBudget budget;
    private final MemoryBudget responseMemory;
    private final LongSupplier clock;
    private final UnixDomainSocketAddress fixedAddress; // null: connect to the address of each endpoint
    private final Bootstrap bootstrap;
    private BooleanSupplier reclaimer;
    private BootSettings siteSettings;
    private long idleTimeoutMicros;

    UpstreamConnector(
            EventLoop loop,
            BootSettings siteSettings,
            ConnectionBudget budget,
            MemoryBudget responseMemory,
            LongSupplier clock,
            UnixDomainSocketAddress fixedAddress) {
        this.loop = loop;
        this.budget = budget;
        this.responseMemory = responseMemory;
        this.clock = clock;
        this.fixedAddress = fixedAddress;
        reconfigure(siteSettings);
        bootstrap = (fixedAddress != null
                        ? new Bootstrap().channel(NioDomainSocketChannel.class)
                        : new Bootstrap().channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true))
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, ChannelBufferSettings.WRITE_WATER_MARK)
                .group(loop);
    }

    void reconfigure(BootSettings newSettings) {
        siteSettings = newSettings;
        idleTimeoutMicros = newSettings.idleCloseMicros() > 0
                ? (long) (newSettings.idleCloseMicros() * IDLE_TIMEOUT_FRACTION)
                : Long.MAX_VALUE;
    }

    /**
     * Sets the function that closes an unused connection when the budget is full; it returns false if there is none.
     */
    void setReclaimer(BooleanSupplier newReclaimer) {
        reclaimer = newReclaimer;
    }

    EventLoop loop() {
        return loop;
    }

    /** Returns the limit on the heap that responses take until the clients' connections hold them. */
    MemoryBudget responseMemory() {
        return responseMemory;
    }

    long nowMicros() {
        return clock.getAsLong();
    }

    /** Returns the time for which a connection may be idle and still be reused. */
    long idleTimeoutMicros() {
        return idleTimeoutMicros;
    }

    boolean probesAllowed() {
        return siteSettings.policySettings().limits().probingAllowed();
    }

    /** Returns the timeout for opening a connection, and for a probe as a whole. */
    int connectTimeoutMillis() {
        long limitMicros = siteSettings.policySettings().limits().connectTimeoutMicros();
        return limitMicros > 0
                ? (int) Math.max(1, Math.min(Integer.MAX_VALUE, limitMicros / 1000))
                : DEFAULT_CONNECT_TIMEOUT_MILLIS;
    }

    /** Opens a connection for {@code call}, which ends immediately if no connection can be opened. */
    void connect(UpstreamEndpoint endpoint, UpstreamCall call) {
        if (budget.isFull() && !reclaimer.getAsBoolean()) {
            call.end(AttemptOutcome.CONNECT_FAILED, null, null);
            return;
        }
        UpstreamConnection connection = new UpstreamConnection(this, endpoint, call);
        budget.connectionOpened();
        ChannelFuture connected = bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connection.initialize(channel.pipeline());
                    }
                })
                .connect(fixedAddress != null ? fixedAddress : endpoint.address());
        if (!connected.channel().isRegistered()) {
            // The operating system has no file descriptor left, although the budget is not full. Such a channel has no
            // event loop, so its close future never completes.
            connection.setChannel(connected.channel());
            budget.connectionClosed();
            call.end(AttemptOutcome.CONNECT_FAILED, null, null);
            return;
        }
        connection.opened(connected);
    }

    /** Called when a connection that was opened has closed. */
    void connectionClosed() {
        budget.connectionClosed();
    }
}
