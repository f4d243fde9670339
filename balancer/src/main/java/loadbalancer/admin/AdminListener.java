package loadbalancer.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.string.StringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The operators' listener. A connection sends one line, receives one line and is closed. Connections that send nothing
 * or an incomplete line cannot block the listener: their number is limited, each is closed after a timeout, and at the
 * limit a new connection replaces the oldest one. Belongs to the event loop's thread, except for {@link #listen}.
 */
public final class AdminListener {
    /** With the listener itself, that many connections fit into the descriptors that client connections leave free. */
    public static final int MAX_CONNECTIONS = 16;

    private static final int MAX_LINE_BYTES = 512;
    /** How long a connection may take to send its line. */
    private static final long LINE_TIMEOUT_MILLIS = 3_000;
    /** How long the operator may take to read the response before the connection is closed. */
    private static final long CLOSE_DELAY_MILLIS = 1_000;

    private static final int BACKLOG = 256;

    private final EventLoop loop;
    private final OperatorActions actions;
    private final Set<AdminConnection> connections = new LinkedHashSet<>(); // the oldest first
    private Channel listener;

    /** Creates a listener that is not open yet; {@code actions} carries out the commands. */
    public AdminListener(EventLoop loop, OperatorActions actions) {
        this.loop = loop;
        this.actions = actions;
    }

    /**
     * Opens the listener. Blocks, so it must not be called on the event loop's thread.
     *
     * @return the address that the listener is bound to
     * @throws IOException if the address cannot be bound, or the thread is interrupted
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        try {
            listener = new ServerBootstrap()
                    .group(loop, loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_LINE_BYTES))
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            accept(channel);
                        }
                    })
                    .bind(address)
                    .sync()
                    .channel();
            return (InetSocketAddress) listener.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Accepts no more connections. Responses already being sent are still delivered in full. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
    }

    private void accept(Channel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.iterator().next().channel.close();
        }
        AdminConnection connection = new AdminConnection(channel);
        connections.add(connection);
        // A timer that outlived its connection would hold it: many short connections would fill the heap.
        connection.timer = loop.schedule(
                () -> connection.respond("NAK no whole line came"), LINE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> {
            connection.timer.cancel(false);
            connections.remove(connection);
        });
        channel.pipeline()
                .addLast(
                        new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true),
                        new StringDecoder(StandardCharsets.UTF_8),
                        connection);
    }

    /** A connection of an operator. */
    private final class AdminConnection extends SimpleChannelInboundHandler<String> {
        private final Channel channel;
        private Future<?> timer; // of the line, and then of the close
        private boolean responded;

        AdminConnection(Channel channel) {
            this.channel = channel;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            if (!responded) {
                respond(OperatorCommand.execute(line, actions));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                respond("NAK the line is longer than " + MAX_LINE_BYTES + " bytes");
            } else {
                channel.close();
            }
        }

        // The channel is closed after a delay: closing it at once while it has unread bytes would reset the connection
        // before the operator has read the response.
        private void respond(String line) {
            if (responded || !channel.isActive()) {
                return;
            }
            responded = true;
            channel.writeAndFlush(Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8))
                    .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                    .addListener(written -> ((DuplexChannel) channel).shutdownOutput());
            timer.cancel(false);
            timer = loop.schedule(() -> channel.close(), CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
