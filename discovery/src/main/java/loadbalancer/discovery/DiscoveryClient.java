package loadbalancer.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.SafetyBounds;
import loadbalancer.settings.SettingsReader;
import loadbalancer.staleness.ListStaleness;

/**
 * Asks discovery for the list and watches its changes: where discovery is asked, only as the module wishes;
 * where lists are pushed, always.
 */
public final class DiscoveryClient {
    private static final int CONNECT_MS = 2_000;
    private static final long AGAIN_MS = 250; // after a failed try, where lists are pushed
    private static final long SOON_MS = 50; // the same after a watch that worked

    private final EventLoop loop;
    private final Set<Call> calls = new LinkedHashSet<>(); // under way
    private InetSocketAddress address;
    private SettingsReader.Boot boot;
    private final EndpointSubset holding;
    private final BiConsumer<EndpointListKind, EndpointList> news;
    private final Consumer<String> log;
    private final boolean pushed;
    private final LongSupplier clock;
    private final ListStaleness staleness;
    private long rev;
    private Call watch;
    private boolean wanted; // a watch, whether one is open or not

    /**
     * {@code news} gets each list and change; FAILED and null where a call or the watch has failed. {@code clock}
     * counts µs and is the one by which drains are kept.
     *
     * @param holding what is taken of a list that is too long, shared with what keeps it
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            SettingsReader.Boot boot,
            EndpointSubset holding,
            long rev,
            LongSupplier clock,
            BiConsumer<EndpointListKind, EndpointList> news,
            Consumer<String> log) {
        this.loop = loop;
        this.address = address;
        this.boot = boot;
        this.holding = holding;
        this.rev = rev;
        this.news = news;
        this.log = log;
        this.clock = clock;
        this.pushed = boot.settings().discovery() == DiscoveryMode.PUSH;
        SafetyBounds bounds = boot.settings().bounds();
        this.staleness = new ListStaleness(pushed, bounds.drainGracePeriodMicros(), bounds.pollIntervalMicros());
    }

    /** Begins to watch unasked where lists are pushed. */
    public void start() {
        staleness.started(clock.getAsLong());
        if (pushed) {
            watch(true);
        }
    }

    /** How long a process that has started need not be ready for want of an answer, in µs. */
    public long startWithin() {
        return staleness.startWithin();
    }

    /** Subscribes to changes, in place of an earlier subscription, or ends it. */
    public void watch(boolean on) {
        wanted = on;
        Call earlier = watch;
        watch = on ? new Call("/api/targets?watch=1&from=" + rev, true) : null;
        if (earlier != null) {
            earlier.drop();
        }
        if (on) {
            watch.open();
        }
    }

    /** Reads lists by new settings from here on. */
    public void reconfigure(SettingsReader.Boot next) {
        boot = next;
        staleness.limits(
                next.settings().bounds().drainGracePeriodMicros(),
                next.settings().bounds().pollIntervalMicros());
    }

    /** Asks for the whole list once. */
    public void fetch() {
        new Call("/api/targets", false).open();
    }

    /**
     * Goes on at another address: what is asked here is asked anew there, at once. The list stays in use
     * meanwhile, and nobody is told of a failure, for none has happened. The whole list is asked for: another
     * discovery may count its versions in another way.
     */
    public void moveTo(InetSocketAddress other) {
        if (other.equals(address)) {
            return;
        }
        address = other;
        rev = 0;
        staleness.moved(clock.getAsLong());
        for (Call call : List.copyOf(calls)) {
            call.drop();
            if (!call.watching) {
                fetch();
            }
        }
        if (wanted) {
            watch(true);
        }
    }

    /** A call under way; the answer of a watch goes on until its connection ends. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final String uri;
        private final boolean watching;
        private final ListReader lists = new ListReader(() -> boot, holding);
        private Channel channel;
        private Future<?> silence;
        private long heardAt;
        private boolean answered; // the module has had what its call was for
        private boolean over;

        Call(String uri, boolean watching) {
            this.uri = uri;
            this.watching = watching;
        }

        void open() {
            calls.add(this);
            heard();
            ChannelFuture connected = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline().addLast(new HttpClientCodec(), Call.this);
                        }
                    })
                    .connect(address);
            channel = connected.channel();
            if (!channel.isRegistered()) { // no descriptor is left: it has no loop to tell of its end
                loop.execute(this::ended);
                return;
            }
            channel.closeFuture().addListener(closed -> ended());
            connected.addListener(done -> {
                if (done.isSuccess()) {
                    DefaultFullHttpRequest ask = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
                    ask.headers()
                            .set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
                    channel.writeAndFlush(ask);
                } else {
                    ended();
                }
            });
        }

        /** Ends it, and nobody is told. */
        void drop() {
            over = true;
            calls.remove(this);
            if (watch == this) {
                watch = null;
            }
            silence.cancel(false);
            if (channel.isRegistered()) {
                channel.close();
            }
        }

        // Guards against a discovery that is cut off: its connection stays open and silent.
        private void heard() {
            heardAt = clock.getAsLong();
            if (silence != null) {
                silence.cancel(false);
            }
            silence = loop.schedule(
                    () -> {
                        if (answered) {
                            staleness.silentSince(heardAt);
                        }
                        ended();
                    },
                    answered ? staleness.patience() : staleness.answerWithin(),
                    TimeUnit.MICROSECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part instanceof HttpResponse answer
                    && (answer.status().code() != 200 || !answer.decoderResult().isSuccess())) {
                ended();
            }
            if (over) {
                return;
            }
            if (part instanceof HttpContent content) {
                try {
                    read(ByteBufUtil.getBytes(content.content()));
                } catch (IllegalArgumentException e) {
                    // A change may be lost with it: the next watch, from the last good version, brings it.
                    log.accept("discovery sent a list that can't be read: " + e.getMessage());
                    ended();
                }
            }
            if (part instanceof LastHttpContent && !over) {
                if (lists.within()) {
                    log.accept("discovery sent a list that can't be read: it breaks off");
                }
                ended();
            }
        }

        // An empty line says that nothing has changed. Within a list it says nothing: one that was cut short must
        // not look alive for as long as such lines come.
        private void read(byte[] bytes) {
            boolean blank = new String(bytes, StandardCharsets.ISO_8859_1).isBlank();
            boolean beat = blank && bytes.length > 0 && !lists.within();
            boolean first = beat && watching && !answered;
            answered |= first;
            if (beat || !blank) {
                heard();
            }
            if (first) {
                news(new EndpointList(rev, false, List.of()));
            } else {
                lists.read(bytes, list -> {
                    if (!over) {
                        news(list);
                    }
                });
            }
        }

        private void news(EndpointList targets) {
            rev = targets.rev();
            if (!answered) {
                answered = true;
                heard(); // from here on the time between two lines counts
            }
            EndpointListKind kind = targets.all() ? EndpointListKind.SNAPSHOT : EndpointListKind.DELTA;
            news.accept(kind, watching ? targets.told(staleness.told(clock.getAsLong())) : targets);
            if (!watching) {
                drop();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }

        private void ended() {
            if (over) {
                return;
            }
            drop();
            if (watching && answered) {
                staleness.unwatched(clock.getAsLong());
            }
            if (!pushed) {
                news.accept(EndpointListKind.UNAVAILABLE, null);
            } else if (watching) {
                // One that has worked is soon opened anew: what its agent has counts as told meanwhile.
                loop.schedule(
                        () -> {
                            if (watch == null) {
                                watch(true);
                            }
                        },
                        answered ? SOON_MS : AGAIN_MS,
                        TimeUnit.MILLISECONDS);
            }
        }
    }
}
