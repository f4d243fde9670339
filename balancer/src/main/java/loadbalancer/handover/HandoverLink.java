package loadbalancer.handover;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
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
 * Connects a process to its predecessor, and later to its successor, through a Unix domain socket in a directory that
 * both can access. A closed connection means that the other process has ended. Socket files that ended processes left
 * in the directory are harmless, because connecting to them fails.
 *
 * <p>Belongs to the event loop's thread, except for {@link #connectToPredecessor()}.
 */
public final class HandoverLink {
    private static final String SOCKET_NAME = "handover.sock";
    private static final int MAX_LINE_BYTES = 8 << 20;
    /** The most connections to other processes: a predecessor, a successor, and those of an upgrade that has failed. */
    private static final int MAX_PEERS = 4;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long STATE_TIMEOUT_MILLIS = 1_000;

    /** Supplies the state and receives the link's events; called on the event loop's thread. */
    public interface Listener {
        /** Returns the state that a successor starts from. */
        HandoverDocument state();

        /** Receives a message of the other process, except for a state request and its reply. */
        void received(HandoverMessage message);

        /** Called with true when another process has connected, and with false when the last one has disconnected. */
        void peerPresent(boolean present);
    }

    private final EventLoop loop;
    private final Path directory;
    private final Listener listener;
    private final Consumer<String> log;
    private final Set<Channel> peers = new LinkedHashSet<>();
    private Consumer<Optional<HandoverDocument>> stateCallback; // null while no state reply is awaited
    private Channel serverChannel;

    /**
     * Creates a link that is not connected yet.
     *
     * @param directory the directory of the sockets; null if there is never another process
     */
    public HandoverLink(EventLoop loop, Path directory, Listener listener, Consumer<String> log) {
        this.loop = loop;
        this.directory = directory;
        this.listener = listener;
        this.log = log;
    }

    /**
     * Connects to a predecessor, and returns whether there is one. Blocks, so it must not be called on the event loop's
     * thread.
     */
    public boolean connectToPredecessor() {
        if (directory == null || !Files.exists(directory.resolve(SOCKET_NAME))) {
            return false;
        }
        try {
            return new Bootstrap()
                    .group(loop)
                    .channel(NioDomainSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .handler(peerInitializer())
                    .connect(UnixDomainSocketAddress.of(directory.resolve(SOCKET_NAME)))
                    .await()
                    .isSuccess(); // connecting fails if the process that created the socket has ended
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Requests the predecessor's state. {@code callback} gets none if there is no predecessor or no reply in time. */
    public void requestState(Consumer<Optional<HandoverDocument>> callback) {
        if (peers.isEmpty()) {
            callback.accept(Optional.empty());
            return;
        }
        stateCallback = callback;
        sendToPeer(new HandoverMessage.StateRequest());
        loop.schedule(this::stateTimedOut, STATE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void stateTimedOut() {
        if (stateCallback != null) {
            log.accept("predecessor did not send its state in time: continuing without it");
            stateReceived(Optional.empty());
        }
    }

    private void stateReceived(Optional<HandoverDocument> state) {
        Consumer<Optional<HandoverDocument>> callback = stateCallback;
        stateCallback = null;
        if (callback != null) {
            callback.accept(state);
        }
    }

    /** Lets a successor connect to this process, no longer to its predecessor. */
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
                            acceptSuccessorFailed(bound.cause());
                        }
                    })
                    .channel();
        } catch (IOException | IllegalArgumentException e) {
            acceptSuccessorFailed(e);
        }
    }

    // The socket is bound under a temporary name and then renamed, so that at any time one process accepts connections
    // under the well-known name.
    private void publish(Path ownSocket) {
        try {
            Files.move(ownSocket, directory.resolve(SOCKET_NAME), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            acceptSuccessorFailed(e);
        }
    }

    private void acceptSuccessorFailed(Throwable cause) {
        log.accept("cannot accept a successor: " + cause.getMessage());
    }

    /**
     * Sends a message to the other process; drops it if there is none. A report of descriptors is also dropped while
     * the other process does not read, as the next report replaces it.
     */
    public void sendToPeer(HandoverMessage message) {
        if (peers.isEmpty()) {
            return;
        }
        try {
            String line = HandoverCodec.encode(message) + "\n";
            for (Channel peer : peers) {
                if (peer.isWritable() || !(message instanceof HandoverMessage.DescriptorsInUse)) {
                    peer.writeAndFlush(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8));
                }
            }
        } catch (IOException e) {
            log.accept("cannot send a handover message to the other process: " + e.getMessage());
        }
    }

    /** Stops accepting successors and closes the connections to other processes. */
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
                if (peers.size() >= MAX_PEERS) {
                    channel.close();
                    return;
                }
                channel.pipeline()
                        .addLast(
                                new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                new StringDecoder(StandardCharsets.UTF_8),
                                new PeerHandler());
            }
        };
    }

    /** A connection to another process. */
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
            log.accept("cannot read a handover message from the other process: " + cause);
            context.close();
        }
    }
}
