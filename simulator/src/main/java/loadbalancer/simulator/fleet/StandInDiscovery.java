package loadbalancer.simulator.fleet;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Discovery by the protocol page, on one thread of its own, made for many balancers and long lists: what goes to all
 * watches is put into bytes once and shared. It can be slow, down or cut off, and come back. What it says of itself is
 * counted at its sockets, with the framing of HTTP and without that of TCP.
 */
public final class StandInDiscovery implements AutoCloseable {
    private static final long BEAT_NS = 2_000_000_000L;
    private static final int BACKLOG = 4_096;
    private static final int BODY_MOST = 64 << 10;
    private static final long SLOT_NS = 100_000_000L; // of the calls that are counted by the second
    private static final int SLOTS = 10;

    /**
     * What has happened since it began.
     *
     * @param calls that it has taken up, watches among them
     * @param watches opened
     * @param refused by 503 or by a reset
     * @param silent that came while it was cut off
     * @param wholes whole lists sent, by either kind of call
     * @param lines with changes or lists, sent to watches
     * @param beats empty lines
     * @param bytesOut written to sockets
     * @param bytesIn read from sockets
     * @param waitedMicros that calls waited before they were taken up, all together
     * @param longestMicros the longest of these
     * @param peakPerSecond the most calls that came in any one second (in steps of 100 ms), refused ones among them
     */
    public record Counts(
            long calls,
            long watches,
            long refused,
            long silent,
            long wholes,
            long lines,
            long beats,
            long bytesOut,
            long bytesIn,
            long waitedMicros,
            long longestMicros,
            long peakPerSecond) {
        /** What has happened since then; the peak and the longest wait are the later ones. */
        Counts since(Counts before) {
            return new Counts(
                    calls - before.calls,
                    watches - before.watches,
                    refused - before.refused,
                    silent - before.silent,
                    wholes - before.wholes,
                    lines - before.lines,
                    beats - before.beats,
                    bytesOut - before.bytesOut,
                    bytesIn - before.bytesIn,
                    waitedMicros - before.waitedMicros,
                    longestMicros,
                    peakPerSecond);
        }

        /** Lines, empty ones among them, and answers. */
        long messages() {
            return lines + beats + calls - watches;
        }
    }

    private enum Mode {
        UP,
        DOWN,
        CUT_OFF
    }

    private record Revision(long rev, List<Machines.Change> changes) {}

    private record Waiting(Channel channel, String uri, long at) {}

    private static final class Watch {
        final Channel channel;
        long sent; // the last revision
        long wroteAt;

        Watch(Channel channel) {
            this.channel = channel;
        }
    }

    private final NioEventLoopGroup group;
    private final EventLoop loop;
    private final long thread;
    private final FleetPlan.Discovery plan;
    private final Map<String, Machines.Change> current = new LinkedHashMap<>();
    private final ArrayDeque<Revision> history = new ArrayDeque<>();
    private final Map<Long, ByteBuf> since = new HashMap<>(); // of this revision, by the one that is known
    private final Map<Long, Long> published = new ConcurrentHashMap<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private final Set<Channel> channels = new LinkedHashSet<>();
    private final Set<Channel> limbo = new LinkedHashSet<>(); // came while cut off: reset when it is back
    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
    private final Map<Long, Integer> slots = new HashMap<>();
    private final Channel listener;
    private ByteBuf whole; // of this revision, if it was asked for
    private Mode mode = Mode.UP;
    private boolean serving;
    private long callNanos;
    private volatile long rev = 1;
    private long calls;
    private long opened;
    private long refused;
    private long silent;
    private long wholes;
    private long lines;
    private long beats;
    private long bytesOut;
    private long bytesIn;
    private long waited;
    private long longest;

    /**
     * Listens on a free port of the loopback address, with that list as revision 1.
     *
     * @throws IOException where it can't listen
     */
    StandInDiscovery(Collection<Machines.Change> list, FleetPlan.Discovery plan) throws IOException {
        this.plan = plan;
        callNanos = plan.callTime() * 1_000;
        list.forEach(change -> current.put(change.uid(), change));
        group = new NioEventLoopGroup(1);
        loop = group.next();
        try {
            thread = on(() -> Thread.currentThread().getId());
            listener = new ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            accepted(channel);
                        }
                    })
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .syncUninterruptibly()
                    .channel();
        } catch (RuntimeException e) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw new IOException("the stand-in can't listen: " + e.getMessage(), e);
        }
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** The thread that does all its work. */
    long thread() {
        return thread;
    }

    /** The newest revision. */
    public long rev() {
        return rev;
    }

    /** When that revision was published, by {@link System#nanoTime}; 0 for one that wasn't. */
    long publishedAt(long revision) {
        return published.getOrDefault(revision, 0L);
    }

    /** How many watches are open. */
    public int watches() {
        return on(watches::size);
    }

    /** What has happened so far. */
    public Counts counts() {
        return on(() -> new Counts(
                calls, opened, refused, silent, wholes, lines, beats, bytesOut, bytesIn, waited, longest, peak()));
    }

    /** Counts the peak and the longest wait anew from here on. */
    void forgetPeak() {
        on(() -> {
            slots.clear();
            longest = 0;
            return null;
        });
    }

    /** The size of the whole list as it is sent, in bytes. */
    int listBytes() {
        return on(() -> whole().readableBytes());
    }

    /** Tells of these changes as one new revision, which counts as published now; returns its number. */
    long publish(List<Machines.Change> changes) {
        long now = System.nanoTime();
        return on(() -> {
            long next = rev + 1;
            published.put(next, now);
            for (Machines.Change change : changes) {
                if (change.gone()) {
                    current.remove(change.uid());
                } else {
                    current.put(change.uid(), change);
                }
            }
            history.addLast(new Revision(next, changes));
            if (history.size() > plan.kept()) {
                history.removeFirst();
            }
            rev = next;
            stale();
            if (mode == Mode.UP) {
                watches.forEach(this::bringUp);
            }
            return next;
        });
    }

    /** Each call takes that long from here on; 0 for none. */
    public void slow(long callMicros) {
        on(() -> {
            callNanos = callMicros * 1_000;
            return null;
        });
    }

    /** Resets all connections, and new ones as they come. */
    public void down() {
        on(() -> {
            mode = Mode.DOWN;
            queue.clear();
            List.copyOf(channels).forEach(StandInDiscovery::reset);
            return null;
        });
    }

    /** Says nothing more; connections stay open. New ones come up, as loopback has it, and nothing follows. */
    public void cutOff() {
        on(() -> {
            mode = Mode.CUT_OFF;
            queue.forEach(call -> limbo.add(call.channel));
            queue.clear();
            return null;
        });
    }

    /** Works again, at its planned speed: what came while it was cut off is reset, watches hear what they missed. */
    public void back() {
        on(() -> {
            mode = Mode.UP;
            callNanos = plan.callTime() * 1_000;
            List.copyOf(limbo).forEach(StandInDiscovery::reset);
            limbo.clear();
            watches.forEach(this::bringUp);
            return null;
        });
    }

    private <T> T on(Callable<T> work) {
        try {
            return loop.submit(work).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    // ---- connections

    private void accepted(SocketChannel channel) {
        if (mode == Mode.DOWN) {
            came();
            refused++;
            reset(channel);
            return;
        }
        channels.add(channel);
        channel.closeFuture().addListener(closed -> {
            channels.remove(channel);
            limbo.remove(channel);
        });
        channel.pipeline()
                .addLast(new Counting(), new HttpServerCodec(), new HttpObjectAggregator(BODY_MOST), new Calls());
    }

    private void came() {
        slots.merge(System.nanoTime() / SLOT_NS, 1, Integer::sum);
    }

    private long peak() {
        long most = 0;
        for (long slot : slots.keySet()) {
            long sum = 0;
            for (int i = 0; i < SLOTS; i++) {
                sum += slots.getOrDefault(slot + i, 0);
            }
            most = Math.max(most, sum);
        }
        return most;
    }

    private final class Counting extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            bytesIn += message instanceof ByteBuf b ? b.readableBytes() : 0;
            context.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            bytesOut += message instanceof ByteBuf b
                    ? b.readableBytes()
                    : message instanceof ByteBufHolder h ? h.content().readableBytes() : 0;
            context.write(message, promise);
        }
    }

    @ChannelHandler.Sharable
    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            came();
            if (mode == Mode.CUT_OFF) {
                silent++;
                limbo.add(context.channel());
                return;
            }
            queue.addLast(new Waiting(context.channel(), request.uri(), System.nanoTime()));
            if (!serving) {
                next();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    // One call after another: the next is taken up when the one before has had its time.
    private void next() {
        serving = false;
        while (!serving && !queue.isEmpty()) {
            Waiting call = queue.poll();
            long wait = System.nanoTime() - call.at;
            if (!call.channel.isActive()) {
                continue; // whoever asked has gone
            }
            waited += wait / 1_000;
            longest = Math.max(longest, wait / 1_000);
            if (wait > plan.callTimeout() * 1_000) {
                refused++;
                answer(call.channel, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
                continue;
            }
            calls++;
            if (callNanos > 0) {
                serving = true;
                loop.schedule(
                        () -> {
                            if (mode == Mode.UP) {
                                serve(call);
                            } else if (mode == Mode.CUT_OFF) {
                                limbo.add(call.channel);
                            }
                            next();
                        },
                        callNanos,
                        TimeUnit.NANOSECONDS);
            } else {
                serve(call);
            }
        }
    }

    private void serve(Waiting call) {
        QueryStringDecoder uri = new QueryStringDecoder(call.uri);
        if (!uri.path().equals("/api/targets")) {
            answer(call.channel, HttpResponseStatus.NOT_FOUND, Unpooled.EMPTY_BUFFER);
        } else if (uri.parameters().containsKey("watch")) {
            watch(
                    call.channel,
                    uri.parameters().getOrDefault("from", List.of("0")).get(0));
        } else {
            wholes++;
            answer(call.channel, HttpResponseStatus.OK, whole().retainedDuplicate());
        }
    }

    private static void answer(Channel to, HttpResponseStatus status, ByteBuf body) {
        DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        HttpUtil.setContentLength(answer, body.readableBytes());
        to.writeAndFlush(answer);
    }

    // ---- watches

    private void watch(Channel channel, String from) {
        if (!from.matches("[0-9]{1,18}")) {
            answer(channel, HttpResponseStatus.BAD_REQUEST, Unpooled.EMPTY_BUFFER);
            return;
        }
        opened++;
        DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        HttpUtil.setTransferEncodingChunked(head, true);
        channel.write(head);
        Watch watch = new Watch(channel);
        watch.sent = Long.parseLong(from);
        watches.add(watch);
        channel.closeFuture().addListener(closed -> watches.remove(watch));
        // Also where nothing has changed: that line says that the list which is known still holds.
        line(watch, after(watch.sent));
        beat(watch);
    }

    private void bringUp(Watch watch) {
        if (watch.sent != rev) {
            line(watch, after(watch.sent));
        }
    }

    private void line(Watch watch, ByteBuf text) {
        lines++;
        watch.sent = rev;
        watch.wroteAt = System.nanoTime();
        watch.channel.writeAndFlush(new DefaultHttpContent(text.retainedDuplicate()));
    }

    private void beat(Watch watch) {
        if (!watch.channel.isActive()) {
            return;
        }
        long left = watch.wroteAt + BEAT_NS - System.nanoTime();
        if (left <= 0) {
            left = BEAT_NS;
            watch.wroteAt = System.nanoTime();
            if (mode == Mode.UP) {
                beats++;
                watch.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[] {'\n'})));
            }
        }
        loop.schedule(() -> beat(watch), left, TimeUnit.NANOSECONDS);
    }

    // ---- lists and changes, in bytes

    private ByteBuf whole() {
        if (whole == null) {
            whole = bytes(true, current.values());
        }
        return whole;
    }

    // What changed after that revision, each machine as it is now; the whole list where that is not known any more.
    private ByteBuf after(long known) {
        boolean all = known > rev || known < rev && (history.isEmpty() || history.peekFirst().rev > known + 1);
        if (all) {
            wholes++;
            return whole();
        }
        return since.computeIfAbsent(known, k -> {
            Map<String, Machines.Change> changes = new LinkedHashMap<>();
            for (Revision r : history) {
                if (r.rev > k) {
                    r.changes.forEach(change -> changes.put(change.uid(), change));
                }
            }
            return bytes(false, changes.values());
        });
    }

    private ByteBuf bytes(boolean all, Collection<Machines.Change> entries) {
        List<byte[]> parts = new ArrayList<>(entries.size());
        int length = 0;
        for (Machines.Change change : entries) {
            parts.add(change.json());
            length += change.json().length + 1;
        }
        byte[] head = ("{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[").getBytes(StandardCharsets.US_ASCII);
        // Off the heap, so that lists here don't count as heap of balancers.
        ByteBuf out = Unpooled.directBuffer(head.length + length + 3);
        out.writeBytes(head);
        for (int i = 0; i < parts.size(); i++) {
            if (i > 0) {
                out.writeByte(',');
            }
            out.writeBytes(parts.get(i));
        }
        return out.writeBytes(new byte[] {']', '}', '\n'});
    }

    private void stale() {
        if (whole != null) {
            whole.release();
            whole = null;
        }
        since.values().forEach(ByteBuf::release);
        since.clear();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(3_000);
        stale();
    }
}
