package loadbalancer.simulator.sockets;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import loadbalancer.simulator.faultinjection.FaultedStream;
import loadbalancer.simulator.faultinjection.StreamFault;
import loadbalancer.simulator.faultinjection.StreamFault.FaultType;

/**
 * Stands between clients and a server, and does to their connections what a script says. One event loop; connections
 * are counted from 1 in the order in which they are accepted. All state is the loop's.
 */
public final class FaultInjectionServer {
    private static final long PIECE_GAP = 200; // µs between pieces, so that each is a packet of its own
    private static final int HELD_MOST = 1 << 20; // bytes of one direction that may wait here

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final TreeMap<Integer, Pair> pairs = new TreeMap<>();
    private final List<String> refused = new ArrayList<>();
    private List<StreamFault> script;
    private final List<Channel> listeners = new ArrayList<>();
    private int accepted;

    /** Before that server, under those faults. */
    public FaultInjectionServer(EventLoop loop, InetSocketAddress target, List<StreamFault> script) {
        this.loop = loop;
        this.target = target;
        this.script = List.copyOf(script);
    }

    /**
     * Listens on loopback; 0 for any free port. It may listen on several: connections are counted over all. Not for
     * the loop's thread.
     */
    public InetSocketAddress listen(int port) throws IOException {
        try {
            Channel listener = new ServerBootstrap()
                    .group(loop, loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .option(ChannelOption.SO_BACKLOG, 1024)
                    .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(ChannelOption.AUTO_READ, false)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            opened(channel);
                        }
                    })
                    .bind(InetAddress.getLoopbackAddress(), port)
                    .sync()
                    .channel();
            loop.submit(() -> {
                        listeners.add(listener);
                    })
                    .syncUninterruptibly();
            return (InetSocketAddress) listener.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Ends all of it. */
    public void close() {
        loop.submit(() -> {
                    listeners.forEach(Channel::close);
                    List.copyOf(pairs.values()).forEach(Pair::cut);
                })
                .syncUninterruptibly();
    }

    /** Another script, for connections accepted from here on. */
    public void script(List<StreamFault> next) {
        loop.submit(() -> {
                    script = List.copyOf(next);
                })
                .syncUninterruptibly();
    }

    /** Lets go on what a {@code pause} holds, in all connections. */
    public void resume() {
        loop.submit(() -> pairs.values().forEach(Pair::resume)).syncUninterruptibly();
    }

    /** What has happened, by connection and direction: the same bytes give the same trace. */
    public List<String> trace() {
        return loop.submit(() -> {
                    List<String> all = new ArrayList<>(refused);
                    pairs.values().forEach(pass -> {
                        all.addAll(pass.up.stream.trace());
                        all.addAll(pass.down.stream.trace());
                    });
                    return all;
                })
                .syncUninterruptibly()
                .getNow();
    }

    /** Bytes that a connection has passed on in a direction; 0 for one that there wasn't. */
    public long bytes(int connection, boolean up) {
        return loop.submit(() -> {
                    Pair pair = pairs.get(connection);
                    return pair == null ? 0L : up ? pair.up.stream.bytes() : pair.down.stream.bytes();
                })
                .syncUninterruptibly()
                .getNow();
    }

    /** Whether a fault has struck that connection. */
    public boolean struck(int connection) {
        return loop.submit(() -> {
                    Pair pair = pairs.get(connection);
                    return pair != null
                            && !(pair.up.stream.trace().isEmpty()
                                    && pair.down.stream.trace().isEmpty());
                })
                .syncUninterruptibly()
                .getNow();
    }

    /** Ends and forgets connections before that one: a silent one would hold its descriptors for ever. */
    public void forget(int before) {
        loop.submit(() -> {
                    pairs.headMap(before).values().forEach(Pair::cut);
                    pairs.headMap(before).clear();
                })
                .syncUninterruptibly();
    }

    /** Connections accepted so far. */
    public int connections() {
        return loop.submit(() -> accepted).syncUninterruptibly().getNow();
    }

    private void opened(Channel client) {
        int number = ++accepted;
        for (StreamFault fault : script) {
            if (fault.concerns(number) && fault.what() == FaultType.REFUSE) {
                refused.add(number + " refuse");
                client.config().setOption(ChannelOption.SO_LINGER, 0);
                client.close();
                return;
            }
            if (fault.concerns(number) && fault.what() == FaultType.MUTE) {
                refused.add(number + " mute"); // accepted, never read, never answered
                return;
            }
        }
        pairs.put(number, new Pair(number, client));
    }

    private static double amount(List<StreamFault> script, int connection, boolean up, FaultType what) {
        return script.stream()
                .filter(f -> f.concerns(connection) && f.up() == up && f.what() == what)
                .mapToDouble(StreamFault::amount)
                .findFirst()
                .orElse(0);
    }

    /** A client's connection and the one to the server that belongs to it. */
    private final class Pair {
        private final Channel client;
        private final Channel server;
        private final Direction up;
        private final Direction down;

        Pair(int number, Channel client) {
            this.client = client;
            up = new Direction(number, true);
            down = new Direction(number, false);
            ChannelFuture connected = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(new Reader(down))
                    .connect(target);
            server = connected.channel();
            up.to = server;
            up.from = client;
            down.to = client;
            down.from = server;
            client.pipeline().addLast(new Reader(up));
            connected.addListener(done -> {
                if (!done.isSuccess()) {
                    client.close();
                    return;
                }
                client.config().setAutoRead(true);
                server.config().setAutoRead(true);
            });
        }

        void cut() {
            client.close();
            if (server.isRegistered()) {
                server.close();
            }
        }

        void reset() {
            client.config().setOption(ChannelOption.SO_LINGER, 0);
            server.config().setOption(ChannelOption.SO_LINGER, 0);
            cut();
        }

        void resume() {
            up.resume();
            down.resume();
        }

        /** One direction: what its stream gives goes out in order, each after what is due before it. */
        private final class Direction {
            private final FaultedStream stream;
            private final int pieces;
            private final double delay;
            private final double rate;
            private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
            private Channel from;
            private Channel to;
            private boolean paused;
            private boolean silent;
            private boolean busy;
            private boolean ended;
            private int held;

            Direction(int number, boolean isUp) {
                stream = new FaultedStream(number, isUp, script);
                pieces = (int) amount(script, number, isUp, FaultType.PIECES);
                delay = amount(script, number, isUp, FaultType.DELAY);
                rate = amount(script, number, isUp, FaultType.RATE);
            }

            void came(byte[] bytes) {
                for (FaultedStream.Step step : stream.take(bytes)) {
                    if (step instanceof FaultedStream.Pass pass) {
                        pass(pass.bytes());
                    } else {
                        FaultType what = ((FaultedStream.Perform) step).what();
                        later(0, () -> strike(what));
                    }
                }
            }

            private void pass(byte[] bytes) {
                int size = pieces > 0 ? pieces : rate > 0 ? (int) Math.max(1, rate / 100) : bytes.length;
                for (int at = 0; at < bytes.length; at += size) {
                    byte[] piece = java.util.Arrays.copyOfRange(bytes, at, Math.min(bytes.length, at + size));
                    held += piece.length;
                    from.config().setAutoRead(held < HELD_MOST);
                    double wait = Math.max(pieces > 0 ? PIECE_GAP : 0, rate > 0 ? piece.length / rate * 1e6 : 0);
                    later((long) wait, () -> {
                        held -= piece.length;
                        to.writeAndFlush(Unpooled.wrappedBuffer(piece));
                        if (!silent && from.isActive()) {
                            from.config().setAutoRead(held < HELD_MOST);
                        }
                    });
                }
            }

            // A delay shifts everything; the waits of pieces and rates add up behind one another.
            private void later(long wait, Runnable then) {
                if (delay > 0) {
                    loop.schedule(() -> inOrder(wait, then), (long) delay, TimeUnit.MICROSECONDS);
                } else {
                    inOrder(wait, then);
                }
            }

            private void inOrder(long wait, Runnable then) {
                waiting.add(() -> {
                    if (wait == 0) {
                        then.run();
                        return;
                    }
                    busy = true;
                    loop.schedule(
                            () -> {
                                then.run();
                                busy = false;
                                go();
                            },
                            wait,
                            TimeUnit.MICROSECONDS);
                });
                go();
            }

            private void go() {
                while (!busy && !paused && !waiting.isEmpty()) {
                    waiting.poll().run();
                }
            }

            void resume() {
                paused = false;
                go();
            }

            private void strike(FaultType what) {
                switch (what) {
                    case CUT -> cut();
                    case RESET -> reset();
                    case HALF_CLOSE -> {
                        ended = true;
                        ((DuplexChannel) to).shutdownOutput();
                    }
                    case SILENCE -> {
                        silent = true;
                        from.config().setAutoRead(true); // its sender sees a connection that takes all
                    }
                    case PAUSE -> paused = true;
                    default -> throw new IllegalStateException("no step: " + what);
                }
            }

            /** The sender has ended its direction. */
            void end() {
                if (!ended && !silent) {
                    ended = true;
                    later(0, () -> {
                        if (to.isActive()) {
                            ((DuplexChannel) to).shutdownOutput();
                        }
                    });
                }
            }

            /** The sender's connection is gone: the other has no use any more. */
            void gone() {
                if (!silent) {
                    later(0, () -> to.flush().close());
                }
            }
        }

        private final class Reader extends ChannelInboundHandlerAdapter {
            private final Direction way;

            Reader(Direction way) {
                this.way = way;
            }

            @Override
            public void channelRead(ChannelHandlerContext context, Object part) {
                ByteBuf bytes = (ByteBuf) part;
                byte[] copy = ByteBufUtil.getBytes(bytes);
                bytes.release();
                way.came(copy);
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext context, Object event) {
                if (event instanceof ChannelInputShutdownEvent) {
                    way.end();
                }
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                way.gone();
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                context.close(); // a reset is passed on as an end
            }
        }
    }
}
