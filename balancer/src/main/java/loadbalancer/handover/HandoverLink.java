package loadbalancer.handover;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Joins a process to the one that it replaces, and later to the one that replaces it, by a Unix socket in a
 * folder that both see. The end of a connection tells that the other process is gone. What lies in the folder
 * from processes long dead does no harm: nobody answers there.
 */
public final class HandoverLink {
    private static final String NAME = "handover.sock";
    private static final int LINE_MOST = 8 << 20;
    private static final long ANSWER_MS = 1_000; // for the other's state: it may hang

    /** Whom it tells; on the loop's thread. */
    public interface Owner {
        /** All that a successor should know. */
        Map<String, Object> state();

        /** The other process has said something. */
        void told(Map<String, Object> message);

        /** There is another process from here on, or none any more. */
        void accompanied(boolean by);
    }

    private final EventLoop loop;
    private final Path folder;
    private final Owner owner;
    private final Consumer<String> log;
    private final Set<Channel> peers = new LinkedHashSet<>();
    private Consumer<Map<String, Object>> awaiting;
    private Channel listener;

    /** {@code folder} may be null: there is no other process then. */
    public HandoverLink(EventLoop loop, Path folder, Owner owner, Consumer<String> log) {
        this.loop = loop;
        this.folder = folder;
        this.owner = owner;
        this.log = log;
    }

    /** Looks for a process to replace; returns whether there is one. Not for the loop's thread. */
    public boolean seek() {
        if (folder == null || !Files.exists(folder.resolve(NAME))) {
            return false;
        }
        try {
            new Bootstrap()
                    .group(loop)
                    .channel(NioDomainSocketChannel.class)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            joined(channel);
                        }
                    })
                    .connect(UnixDomainSocketAddress.of(folder.resolve(NAME)))
                    .sync();
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } catch (Exception e) { // sync() rethrows what connect failed with, whatever its type
            return false; // nobody there: the file was left by a process that is gone
        }
    }

    /** Asks the other process for its state; null where there is none or it doesn't answer in time. */
    public void ask(Consumer<Map<String, Object>> then) {
        if (peers.isEmpty()) {
            then.accept(null);
            return;
        }
        awaiting = then;
        sendToPeer(Map.of("want", "state"));
        loop.schedule(
                () -> {
                    if (awaiting != null) {
                        log.accept("the process to replace doesn't answer: going on without what it knows");
                        answered(null);
                    }
                },
                ANSWER_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Lets a successor find this process, in place of the one that it replaces. */
    public void offer() {
        if (folder == null || listener != null) {
            return;
        }
        Path own = folder.resolve("handover-" + ProcessHandle.current().pid() + ".sock");
        try {
            Files.deleteIfExists(own);
            listener = new ServerBootstrap()
                    .group(loop, loop)
                    .channel(NioServerDomainSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            joined(channel);
                        }
                    })
                    .bind(UnixDomainSocketAddress.of(own))
                    .addListener(bound -> {
                        if (bound.isSuccess()) {
                            named(own);
                        } else {
                            log.accept("no successor can take over from here: "
                                    + bound.cause().getMessage());
                        }
                    })
                    .channel();
        } catch (IOException | IllegalArgumentException e) {
            log.accept("no successor can take over from here: " + e.getMessage());
        }
    }

    private void named(Path own) {
        try {
            Files.move(own, folder.resolve(NAME), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            log.accept("no successor can take over from here: " + e.getMessage());
        }
    }

    /** Says something to the other process, if there is one. */
    public void sendToPeer(Map<String, Object> message) {
        try {
            String line = JSON.std.asString(message) + "\n";
            for (Channel peer : peers) {
                peer.writeAndFlush(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            log.accept("can't tell the other process: " + e.getMessage());
        }
    }

    /** Takes leave of the other process. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
        List.copyOf(peers).forEach(Channel::close);
    }

    private void joined(Channel channel) {
        channel.pipeline()
                .addLast(new LineBasedFrameDecoder(LINE_MOST), new StringDecoder(StandardCharsets.UTF_8), new Peer());
    }

    private void answered(Map<String, Object> state) {
        Consumer<Map<String, Object>> then = awaiting;
        awaiting = null;
        if (then != null) {
            then.accept(state);
        }
    }

    private final class Peer extends SimpleChannelInboundHandler<String> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            peers.add(context.channel());
            owner.accompanied(true);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            peers.remove(context.channel());
            if (peers.isEmpty()) {
                owner.accompanied(false);
                answered(null);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) throws IOException {
            Map<String, Object> message = JSON.std.mapFrom(line);
            if (message.containsKey("want")) {
                sendToPeer(Map.of("state", owner.state()));
            } else if (message.get("state") instanceof Map<?, ?> state) {
                answered(JSON.std.mapFrom(JSON.std.asString(state)));
            } else {
                owner.told(message);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.accept("the other process can't be understood: " + cause);
            context.close();
        }
    }
}
