package loadbalancer.handover;

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
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Joins a process to its predecessor, and later to its successor, by a Unix socket in a directory that both see. The
 * end of a connection says that the other process is gone. Sockets that processes of the past have left in the
 * directory do no harm: nobody answers there.
 *
 * <p>Belongs to the event loop's thread, save {@link #connectToPredecessor()}.
 */
public final class HandoverLink {
    private static final String SOCKET_NAME = "handover.sock";
    private static final int MAX_LINE_BYTES = 8 << 20;
    private static final long STATE_TIMEOUT_MILLIS = 1_000;

    /** What the link serves; called on the event loop's thread. */
    public interface Listener {
        /** Returns the state that a successor starts from. */
        HandoverDocument state();

        /** Takes a message of the other process; the request for the state and its answer do not come here. */
        void received(HandoverMessage message);

        /** The first other process has joined, or the last one has left. */
        void peerPresent(boolean present);
    }

    private final EventLoop loop;
    private final Path directory;
    private final Listener listener;
    private final Consumer<String> log;
    private final Set<Channel> peers = new LinkedHashSet<>();
    private Consumer<Optional<HandoverDocument>> awaitingState; // null while no answer is awaited
    private Channel serverChannel;

    /**
     * Creates a link that is not joined yet.
     *
     * @param directory where processes find each other; null where there is no other process
     */
    public HandoverLink(EventLoop loop, Path directory, Listener listener, Consumer<String> log) {
        this.loop = loop;
        this.directory = directory;
        this.listener = listener;
        this.log = log;
    }

    /** Connects to a predecessor, and returns whether there is one. Blocks: not for the event loop's thread. */
    public boolean connectToPredecessor() {
        if (directory == null || !Files.exists(directory.resolve(SOCKET_NAME))) {
            return false;
        }
        try {
            return new Bootstrap()
                    .group(loop)
                    .channel(NioDomainSocketChannel.class)
                    .handler(peerInitializer())
                    .connect(UnixDomainSocketAddress.of(directory.resolve(SOCKET_NAME)))
                    .await()
                    .isSuccess(); // nobody listens where the socket was left by a process that is gone
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Asks the predecessor for its state; {@code then} gets none where there is none or no answer comes in time. */
    public void requestState(Consumer<Optional<HandoverDocument>> then) {
        if (peers.isEmpty()) {
            then.accept(Optional.empty());
            return;
        }
        awaitingState = then;
        sendToPeer(new HandoverMessage.StateRequest());
        loop.schedule(this::stateTimedOut, STATE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void stateTimedOut() {
        if (awaitingState != null) {
            log.accept("predecessor did not send its state in time: continuing without it");
            stateReceived(Optional.empty());
        }
    }

    private void stateReceived(Optional<HandoverDocument> state) {
        Consumer<Optional<HandoverDocument>> then = awaitingState;
        awaitingState = null;
        if (then != null) {
            then.accept(state);
        }
    }

    /** Lets a successor find this process, in place of its predecessor. */
    public void acceptSuccessor() {
        if (directory == null || serverChannel != null) {
            return;
        }
        Path ownSocket = directory.resolve("handover-" + ProcessHandle.current().pid() + ".sock");
        try {
            Files.deleteIfExists(ownSocket);
            serverChannel = new ServerBootstrap()
                    .group(loop, loop)
                    .channel(NioServerDomainSocketChannel.class)
                    .childHandler(peerInitializer())
                    .bind(UnixDomainSocketAddress.of(ownSocket))
                    .addListener(bound -> {
                        if (bound.isSuccess()) {
                            publish(ownSocket);
                        } else {
                            noSuccessor(bound.cause());
                        }
                    })
                    .channel();
        } catch (IOException | IllegalArgumentException e) {
            noSuccessor(e);
        }
    }

    // Bound under a name of its own and then renamed: there is no moment without a socket that answers.
    private void publish(Path ownSocket) {
        try {
            Files.move(ownSocket, directory.resolve(SOCKET_NAME), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            noSuccessor(e);
        }
    }

    private void noSuccessor(Throwable cause) {
        log.accept("cannot accept a successor: " + cause.getMessage());
    }

    /** Sends a message to the other process; without one it is dropped. */
    public void sendToPeer(HandoverMessage message) {
        try {
            String line = HandoverCodec.encode(message) + "\n";
            for (Channel peer : peers) {
                peer.writeAndFlush(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            log.accept("cannot send to the other process: " + e.getMessage());
        }
    }

    /** Accepts no successor any more and closes the connections to other processes. */
    public void close() {
        if (serverChannel != null) {
            serverChannel.close();
        }
        List.copyOf(peers).forEach(Channel::close);
    }

    private ChannelInitializer<Channel> peerInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                new StringDecoder(StandardCharsets.UTF_8),
                                new PeerHandler());
            }
        };
    }

    /** One connection to another process. */
    private final class PeerHandler extends SimpleChannelInboundHandler<String> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            peers.add(context.channel());
            listener.peerPresent(true);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            peers.remove(context.channel());
            if (peers.isEmpty()) {
                listener.peerPresent(false);
                stateReceived(Optional.empty());
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) throws HandoverFormatException {
            HandoverMessage message = HandoverCodec.decode(line);
            if (message instanceof HandoverMessage.StateRequest) {
                sendToPeer(new HandoverMessage.StateReply(listener.state()));
            } else if (message instanceof HandoverMessage.StateReply reply) {
                stateReceived(Optional.of(reply.document()));
            } else {
                listener.received(message);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.accept("cannot read a message of the other process: " + cause);
            context.close();
        }
    }
}
