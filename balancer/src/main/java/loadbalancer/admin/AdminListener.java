package loadbalancer.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
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
import java.util.concurrent.TimeUnit;

/**
 * The operators' listener: a connection carries one line, gets one line and is closed. Callers that send nothing, or
 * half a line, cannot fill it: they are few at a time, none stays for long, and a new caller takes the place of the one
 * that has been open for longest. Belongs to the event loop's thread, save {@link #listen}.
 */
public final class AdminListener {
    /** Callers at a time; with the listener they fit into the descriptors kept free of clients. */
    public static final int MAX_CALLERS = 16;

    private static final int MAX_LINE_BYTES = 512;
    /** For the line to come. */
    private static final long LINE_TIMEOUT_MILLIS = 3_000;
    /** For the caller to read the response. */
    private static final long CLOSE_DELAY_MILLIS = 1_000;

    private static final int BACKLOG = 256;

    private final EventLoop loop;
    private final OperatorActions actions;
    private final Set<Caller> callers = new LinkedHashSet<>(); // the oldest first
    private Channel listener;

    /** Creates a listener that is not open, for what carries out the commands. */
    public AdminListener(EventLoop loop, OperatorActions actions) {
        this.loop = loop;
        this.actions = actions;
    }

    /**
     * Opens the listener. Blocks: not for the event loop's thread.
     *
     * @return the address in use
     * @throws IOException where the address cannot be bound
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        try {
            listener = new ServerBootstrap()
                    .group(loop, loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            accepted(channel);
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

    /** Accepts no more callers; those that have their response still get it in full. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
    }

    private void accepted(Channel channel) {
        if (callers.size() >= MAX_CALLERS) {
            callers.iterator().next().channel.close();
        }
        Caller caller = new Caller(channel);
        callers.add(caller);
        channel.closeFuture().addListener(closed -> callers.remove(caller));
        channel.pipeline()
                .addLast(
                        new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true),
                        new StringDecoder(StandardCharsets.UTF_8),
                        caller);
        loop.schedule(() -> caller.respond("NAK no whole line came"), LINE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** One connection of an operator. */
    private final class Caller extends SimpleChannelInboundHandler<String> {
        private final Channel channel;
        private boolean responded;

        Caller(Channel channel) {
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

        // Closed at once, with bytes unread, the connection would be reset before the response is read.
        private void respond(String line) {
            if (responded || !channel.isActive()) {
                return;
            }
            responded = true;
            channel.writeAndFlush(Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8))
                    .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                    .addListener(written -> ((DuplexChannel) channel).shutdownOutput());
            loop.schedule(() -> channel.close(), CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
