package loadbalancer.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
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
import java.net.ConnectException;
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
 * Polls discovery for the endpoint list and watches its changes. Where lists are pushed, a watch is kept open at all
 * times; where they are polled, the client polls and watches only when the policy asks for it. Confined to the event
 * loop's thread.
 */
public final class DiscoveryClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    /** Delay before the next watch, where lists are pushed and a watch has failed without a response. */
    private static final long RETRY_DELAY_MILLIS = 250;
    /** Delay before the next watch, where lists are pushed and a watch has ended after a response. */
    private static final long REOPEN_DELAY_MILLIS = 50;

    /** A list arrives at this rate on average, after the first response timeout. */
    private static final long MIN_LIST_BYTES_PER_SECOND = 4_000;

    private static final int STATUS_OK = 200;

    private final EventLoop loop;
    private final Set<Call> callsInProgress = new LinkedHashSet<>();
    private InetSocketAddress address;
    private BootSettings settings;
    private final EndpointSubset subset;
    private final BiConsumer<EndpointListKind, EndpointList> listener;
    private final Consumer<String> log;
    private final boolean pushed;
    private final LongSupplier clockMicros;
    private final ListStaleness staleness;
    private long version; // of the list that is known; 0 if the next watch has to begin with the complete list
    private Call watch;
    private boolean watchWanted; // stays set while a watch that has failed is not open again yet

    /**
     * Creates a client that is not started.
     *
     * @param subset the part that is kept of a list that is too long, shared with {@link Membership}
     * @param version the version of the list that is known already
     * @param clockMicros the clock by which drain grace periods are measured
     * @param listener receives each list and delta; UNAVAILABLE and null if a poll or the watch has failed
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

    /** Starts the client, and opens a watch where lists are pushed. */
    public void start() {
        staleness.started(clockMicros.getAsLong());
        if (pushed) {
            watch(true);
        }
    }

    /** Returns how long a new process waits for a response before it becomes ready without one, in µs. */
    public long startupTimeoutMicros() {
        return staleness.startupTimeoutMicros();
    }

    /** Opens a watch, which replaces one that is open, or closes it. */
    public void watch(boolean wanted) {
        watchWanted = wanted;
        Call previous = watch;
        watch = wanted ? new Call(DiscoveryFormat.watchPath(version), true) : null;
        if (previous != null) {
            previous.drop();
        }
        if (wanted) {
            watch.open();
        }
    }

    /** Reads lists with new settings from now on. */
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
     * Changes to another address: calls in progress are repeated there at once. The list stays in use meanwhile, and
     * the listener is not notified of a failure, as none has happened. The complete list is requested, because another
     * discovery may number its versions differently.
     */
    public void moveTo(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        version = 0;
        staleness.discoveryChanged(clockMicros.getAsLong());
        for (Call call : List.copyOf(callsInProgress)) {
            call.drop();
            if (!call.watching) {
                poll();
            }
        }
        if (watchWanted) {
            watch(true);
        }
    }

    /** A call in progress: a poll ends with its list, a watch with its connection. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final String path;
        private final boolean watching;
        private final ListReader reader = new ListReader(() -> settings, subset);
        private Channel channel;
        private Future<?> timeout;
        private long lastReadMicros;
        private long listStartMicros; // when the list that is arriving began
        private boolean answered; // whether a list or a heartbeat has been received
        private boolean ended;

        Call(String path, boolean watching) {
            this.path = path;
            this.watching = watching;
        }

        void open() {
            callsInProgress.add(this);
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
            if (!channel.isRegistered()) { // no file descriptor was left: no event loop runs its listeners
                loop.execute(this::end);
                return;
            }
            channel.closeFuture().addListener(closed -> end());
            connecting.addListener(done -> {
                if (done.isSuccess()) {
                    channel.writeAndFlush(request());
                } else {
                    forgetVersionIfRefused(done.cause());
                    end();
                }
            });
        }

        // Nobody listens: discovery has ended, and what comes up at its address may number its versions differently.
        private void forgetVersionIfRefused(Throwable cause) {
            if (cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)) {
                version = 0;
            }
        }

        private DefaultFullHttpRequest request() {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            String host = address.getAddress().getHostAddress() + ":" + address.getPort();
            request.headers().set(HttpHeaderNames.HOST, host);
            return request;
        }

        /** Ends the call without notifying the listener. */
        void drop() {
            ended = true;
            callsInProgress.remove(this);
            if (watch == this) {
                watch = null;
            }
            timeout.cancel(false);
            if (channel.isRegistered()) {
                channel.close();
            }
        }

        // Where the network to discovery is cut, the connection stays open and silent: only a timeout ends it.
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
                    log.accept("discovery sent a list that can't be read: the response ends within the list");
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
                // A change may be lost with this list: the next watch, from the last valid version on, brings it again.
                log.accept("discovery sent a list that can't be read: " + e.getMessage());
                end();
            }
        }

        // An empty line is a heartbeat: nothing has changed. Within a list it does not count as one, or else a watch
        // whose list was cut short would not time out for as long as empty lines arrive.
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
                readList(bytes);
            }
        }

        // A list of which only a few bytes come at a time must not be waited for without an end.
        private void readList(byte[] bytes) {
            if (!reader.isWithinList()) {
                listStartMicros = clockMicros.getAsLong();
            }
            reader.read(bytes, list -> {
                if (!ended) {
                    received(list);
                }
            });
            long allowedMicros = staleness.responseTimeoutMicros()
                    + TimeUnit.SECONDS.toMicros(reader.listBytes()) / MIN_LIST_BYTES_PER_SECOND;
            if (!ended && reader.isWithinList() && clockMicros.getAsLong() - listStartMicros > allowedMicros) {
                log.accept("discovery sent a list that can't be read: it arrives too slowly");
                end();
            }
        }

        private void received(EndpointList list) {
            if (!list.complete() && list.version() < version) {
                // Versions never go back, so another discovery has come up at this address: changes are not enough.
                version = 0;
                end();
                return;
            }
            version = list.version();
            if (!answered) {
                answered = true;
                restartTimeout(); // from now on the timeout applies to the time between two lines
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
                // A watch that has worked is reopened sooner, as changes count as notified while no watch is open.
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
