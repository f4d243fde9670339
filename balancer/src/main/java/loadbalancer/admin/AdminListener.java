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
 * The operators' listener: a connection carries one line, gets one line and is closed. Guards against callers
 * that say nothing or half a call: they are few at a time, none stays for long, and a new caller takes the
 * place of the one that has been silent for longest.
 */
public final class AdminListener {
    /** Callers held at a time; with the listener they fit into the descriptors kept free of clients. */
    public static final int CALLERS_MOST = 16;

    private static final int LINE_MOST = 512; // bytes
    private static final long CALL_MS = 3_000; // for the line to come
    private static final long LEAVE_MS = 1_000; // for the caller to read its answer
    private static final int BACKLOG = 256;

    private final EventLoop loop;
    private final Operations operations;
    private final Set<Caller> callers = new LinkedHashSet<>(); // the oldest first
    private Channel listener;

    public AdminListener(EventLoop loop, Operations operations) {
        this.loop = loop;
        this.operations = operations;
    }

    /** Listens; not for the loop's thread. Returns the address in use. */
    public InetSocketAddress listen(InetSocketAddress at) throws IOException {
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
                            opened(channel);
                        }
                    })
                    .bind(at)
                    .sync()
                    .channel();
            return (InetSocketAddress) listener.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Takes no more calls; those that have been answered still leave. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
    }

    private void opened(Channel channel) {
        if (callers.size() >= CALLERS_MOST) {
            callers.iterator().next().channel.close();
        }
        Caller caller = new Caller(channel);
        callers.add(caller);
        channel.closeFuture().addListener(closed -> callers.remove(caller));
        channel.pipeline()
                .addLast(
                        new LineBasedFrameDecoder(LINE_MOST, true, true),
                        new StringDecoder(StandardCharsets.UTF_8),
                        caller);
        loop.schedule(() -> caller.answer("NAK no whole line came"), CALL_MS, TimeUnit.MILLISECONDS);
    }

    private final class Caller extends SimpleChannelInboundHandler<String> {
        private final Channel channel;
        private boolean answered;

        Caller(Channel channel) {
            this.channel = channel;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            if (!answered) {
                answer(Call.answer(line, operations));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                answer("NAK the line is longer than " + LINE_MOST + " bytes");
            } else {
                channel.close();
            }
        }

        // Closed at once, with bytes unread, the connection would be reset before the answer is read.
        private void answer(String line) {
            if (answered || !channel.isActive()) {
                return;
            }
            answered = true;
            channel.writeAndFlush(Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8))
                    .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                    .addListener(written -> ((DuplexChannel) channel).shutdownOutput());
            loop.schedule(() -> channel.close(), LEAVE_MS, TimeUnit.MILLISECONDS);
        }
    }
}
