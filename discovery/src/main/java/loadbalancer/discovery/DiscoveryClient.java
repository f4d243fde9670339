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
import loadbalancer.settings.BootSettings;
import loadbalancer.staleness.ListStaleness;

/**
 * Polls discovery for the endpoint list and watches its changes: where lists are polled, only as the policy wishes;
 * where they are pushed, always. Belongs to the event loop's thread.
 */
public final class DiscoveryClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    /** Before the next watch, where lists are pushed and a watch has failed without a response. */
    private static final long RETRY_DELAY_MILLIS = 250;
    /** The same after a watch that has worked. */
    private static final long REOPEN_DELAY_MILLIS = 50;

    private static final int STATUS_OK = 200;

    private final EventLoop loop;
    private final Set<Call> calls = new LinkedHashSet<>(); // under way
    private InetSocketAddress address;
    private BootSettings settings;
    private final EndpointSubset subset;
    private final BiConsumer<EndpointListKind, EndpointList> listener;
    private final Consumer<String> log;
    private final boolean pushed;
    private final LongSupplier clockMicros;
    private final ListStaleness staleness;
    private long version;
    private Call watch;
    private boolean watchWanted; // whether a watch is open or not

    /**
     * Creates a client that is not started.
     *
     * @param subset which part of a list that is too long is kept, shared with what keeps it
     * @param version of the list that is known already
     * @param clockMicros the clock by which drains are kept
     * @param listener gets each list and change; UNAVAILABLE and null where a poll or the watch has failed
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            BootSettings settings,
            EndpointSubset subset,
            long version,
            LongSupplier clockMicros,
            BiConsumer<EndpointListKind, EndpointList> listener,
            Consumer<String> log) {
        this.loop = loop;
        this.address = address;
        this.settings = settings;
        this.subset = subset;
        this.version = version;
        this.listener = listener;
        this.log = log;
        this.clockMicros = clockMicros;
        this.pushed = settings.policySettings().discovery() == DiscoveryMode.PUSH;
        SafetyBounds bounds = settings.policySettings().bounds();
        this.staleness = new ListStaleness(pushed, bounds.drainGracePeriodMicros(), bounds.pollIntervalMicros());
    }

    /** Begins; where lists are pushed, by opening a watch. */
    public void start() {
        staleness.started(clockMicros.getAsLong());
        if (pushed) {
            watch(true);
        }
    }

    /** Returns how long a process that has started may wait for a response before it is ready without one, in µs. */
    public long startupTimeoutMicros() {
        return staleness.startupTimeoutMicros();
    }

    /** Opens a watch, in place of one that is open, or ends it. */
    public void watch(boolean wanted) {
        watchWanted = wanted;
        Call former = watch;
        watch = wanted ? new Call(DiscoveryFormat.watchPath(version), true) : null;
        if (former != null) {
            former.drop();
        }
        if (wanted) {
            watch.open();
        }
    }

    /** Reads lists by new settings from here on. */
    public void reconfigure(BootSettings next) {
        settings = next;
        SafetyBounds bounds = next.policySettings().bounds();
        staleness.reconfigure(bounds.drainGracePeriodMicros(), bounds.pollIntervalMicros());
    }

    /** Polls the complete list once. */
    public void poll() {
        new Call(DiscoveryFormat.LIST_PATH, false).open();
    }

    /**
     * Goes on at another address: calls under way are made again there, at once. The list stays in use meanwhile, and
     * no failure is notified, for none has happened. The complete list is called for: another discovery may number its
     * versions in another way.
     */
    public void moveTo(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        version = 0;
        staleness.discoveryChanged(clockMicros.getAsLong());
        for (Call call : List.copyOf(calls)) {
            call.drop();
            if (!call.watching) {
                poll();
            }
        }
        if (watchWanted) {
            watch(true);
        }
    }

    /** A call under way: a poll ends with its list, a watch with its connection. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final String path;
        private final boolean watching;
        private final ListReader reader = new ListReader(() -> settings, subset);
        private Channel channel;
        private Future<?> timeout;
        private long lastReadMicros;
        private boolean answered; // a list, or the sign that nothing has changed, has come
        private boolean ended;

        Call(String path, boolean watching) {
            this.path = path;
            this.watching = watching;
        }

        void open() {
            calls.add(this);
            restartTimeout();
            ChannelFuture connecting = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel connected) {
                            connected.pipeline().addLast(new HttpClientCodec(), Call.this);
                        }
                    })
                    .connect(address);
            channel = connecting.channel();
            if (!channel.isRegistered()) { // no descriptor is left: its end is notified on no event loop
                loop.execute(this::end);
                return;
            }
            channel.closeFuture().addListener(closed -> end());
            connecting.addListener(done -> {
                if (done.isSuccess()) {
                    channel.writeAndFlush(request());
                } else {
                    end();
                }
            });
        }

        private DefaultFullHttpRequest request() {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            String host = address.getAddress().getHostAddress() + ":" + address.getPort();
            request.headers().set(HttpHeaderNames.HOST, host);
            return request;
        }

        /** Ends the call without a notification. */
        void drop() {
            ended = true;
            calls.remove(this);
            if (watch == this) {
                watch = null;
            }
            timeout.cancel(false);
            if (channel.isRegistered()) {
                channel.close();
            }
        }

        // A discovery that is cut off leaves the connection open and silent.
        private void restartTimeout() {
            lastReadMicros = clockMicros.getAsLong();
            if (timeout != null) {
                timeout.cancel(false);
            }
            long timeoutMicros = answered ? staleness.watchIdleTimeoutMicros() : staleness.responseTimeoutMicros();
            timeout = loop.schedule(this::timedOut, timeoutMicros, TimeUnit.MICROSECONDS);
        }

        private void timedOut() {
            if (answered) {
                staleness.watchSilentSince(lastReadMicros);
            }
            end();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part instanceof HttpResponse response && !isUsable(response)) {
                end();
            }
            if (ended) {
                return;
            }
            if (part instanceof HttpContent content) {
                readContent(content);
            }
            if (part instanceof LastHttpContent && !ended) {
                if (reader.isWithinList()) {
                    log.accept("discovery sent a list that can't be read: it breaks off");
                }
                end();
            }
        }

        private static boolean isUsable(HttpResponse response) {
            return response.status().code() == STATUS_OK
                    && response.decoderResult().isSuccess();
        }

        private void readContent(HttpContent content) {
            try {
                read(ByteBufUtil.getBytes(content.content()));
            } catch (DiscoveryFormatException e) {
                // A change may be lost with it: the next watch, from the last good version, brings it.
                log.accept("discovery sent a list that can't be read: " + e.getMessage());
                end();
            }
        }

        // An empty line is a heartbeat: nothing has changed. Within a list it is none: a list that was cut short must
        // not look alive for as long as such lines come.
        private void read(byte[] bytes) {
            boolean blank = new String(bytes, StandardCharsets.ISO_8859_1).isBlank();
            boolean heartbeat = blank && bytes.length > 0 && !reader.isWithinList();
            boolean firstAnswer = heartbeat && watching && !answered;
            answered |= firstAnswer;
            if (heartbeat || !blank) {
                restartTimeout();
            }
            if (firstAnswer) {
                received(new EndpointList(version, false, List.of()));
            } else {
                reader.read(bytes, list -> {
                    if (!ended) {
                        received(list);
                    }
                });
            }
        }

        private void received(EndpointList list) {
            version = list.version();
            if (!answered) {
                answered = true;
                restartTimeout(); // from here on the time between two lines counts
            }
            EndpointListKind kind = list.complete() ? EndpointListKind.SNAPSHOT : EndpointListKind.DELTA;
            listener.accept(
                    kind, watching ? list.withNotifiedAt(staleness.listArrived(clockMicros.getAsLong())) : list);
            if (!watching) {
                drop();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }

        private void end() {
            if (ended) {
                return;
            }
            drop();
            if (watching && answered) {
                staleness.watchEnded(clockMicros.getAsLong());
            }
            if (!pushed) {
                listener.accept(EndpointListKind.UNAVAILABLE, null);
            } else if (watching) {
                // After one that has worked at once: what its agent has counts as notified meanwhile.
                long delayMillis = answered ? REOPEN_DELAY_MILLIS : RETRY_DELAY_MILLIS;
                loop.schedule(DiscoveryClient.this::watchAgain, delayMillis, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void watchAgain() {
        if (watch == null) {
            watch(true);
        }
    }
}
