package loadbalancer.process;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import loadbalancer.admin.AdminListener;
import loadbalancer.admin.Operations;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointSubset;
import loadbalancer.discovery.Membership;
import loadbalancer.discovery.PartialListRetry;
import loadbalancer.dispatch.RequestDispatcher;
import loadbalancer.drain.OperatorDrains;
import loadbalancer.handover.HandoverLink;
import loadbalancer.handover.InheritedListener;
import loadbalancer.http.ClientListener;
import loadbalancer.http.UnreadTimeEstimator;
import loadbalancer.logs.Log;
import loadbalancer.logs.Slf4jProvider;
import loadbalancer.operator.OperatorConfig;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicySettings;
import loadbalancer.routing.RoutingGateway;
import loadbalancer.routing.UpstreamPool;
import loadbalancer.settings.SettingsReader;
import loadbalancer.upstream.UpstreamConnectionPool;
import org.slf4j.LoggerFactory;

/** One real balancer: its start, its readiness and its orderly stop. */
public final class BalancerProcess {
    private static final long LINGER_MS = 600; // after SIGTERM: clients go on coming for a while
    private static final long PARTIAL_MS = 2_600; // after that: requests that never come whole
    private static final long COUNT_MS = 100; // between what two processes tell each other
    private static final int OWN_FILES = 24; // that the other holds besides its connections
    private static final double HALF = 0.5;
    private static final long LIST_MS = 10_000; // that nothing is sent by an old list, where lists are pushed
    private static final long SAY_MS = 2_000; // for the line that says why it can't start
    private static final long FLUSH_MS = 20; // for the last answers to leave

    private final Log log;
    private final UnreadTimeEstimator polls = new UnreadTimeEstimator(System::nanoTime);
    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, (Executor) null, SelectorProvider.provider(), polls);
    private final EventLoop loop = group.next();
    private final RequestDispatcher dispatcher;
    private final UpstreamConnectionPool upstreams;
    private final DiscoveryClient discovery;
    private final ClientListener clients;
    private final Membership membership;
    private final AdminListener admin;
    private final OnCall onCall = new OnCall();
    private final HandoverLink link;
    private final Succession succession = new Succession();
    private final DescriptorBudget descriptors;
    private final Platform platform;
    private volatile BalancerConfig config;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final CountDownLatch readied = new CountDownLatch(1);
    private final BiFunction<PolicySettings, Long, LoadBalancingPolicy> module;
    private RoutingGateway gateway; // only where there is an operator file; the loop's
    private boolean hasList;
    private boolean patient = true; // a stop waits for clients
    private boolean rehearsed;

    /**
     * What a process is given besides its configuration; each may be null.
     *
     * @param listener the clients' socket, where the platform holds it
     * @param folder where a process finds the one that it replaces
     */
    public record Platform(ServerSocketChannel listener, Path folder) {}

    /** A node that is ready without a rehearsal, where {@code rehearse} is false. */
    public BalancerProcess(
            BalancerConfig config,
            BiFunction<PolicySettings, Long, LoadBalancingPolicy> module,
            boolean rehearse,
            Log log) {
        this(config, new Platform(null, null), module, rehearse, log);
    }

    public BalancerProcess(
            BalancerConfig config,
            Platform platform,
            BiFunction<PolicySettings, Long, LoadBalancingPolicy> module,
            boolean rehearse,
            Log log) {
        this.platform = platform;
        this.rehearsed = !rehearse;
        this.config = config;
        this.log = log;
        descriptors = new DescriptorBudget(config.sockets());
        LoadBalancingPolicy policy = module.apply(config.boot().settings(), config.seed());
        dispatcher = new RequestDispatcher(loop, config.boot(), policy, log);
        upstreams = new UpstreamConnectionPool(loop, config.boot(), descriptors, dispatcher::nowMicros);
        EndpointSubset holding =
                new EndpointSubset(config.upstreams(), config.boot().settings().rank());
        discovery = new DiscoveryClient(
                loop,
                config.discovery(),
                config.boot(),
                holding,
                config.known().rev(),
                dispatcher::nowMicros,
                this::listed,
                log::accept);
        clients = new ClientListener(
                loop, config.boot(), dispatcher, descriptors, upstreams::closeLongestIdle, polls::unreadMicros);
        upstreams.setReclaimer(clients::closeLeastNeeded);
        dispatcher.attach(upstreams, discovery);
        membership = new Membership(holding, new OperatorDrains(), dispatcher::nowMicros, dispatcher::updateEndpoints);
        holding.onChange(dispatcher::updateSubset);
        new PartialListRetry(loop, membership, discovery, config.seed());
        clients.setReadinessNote(holding::summary);
        admin = new AdminListener(loop, onCall);
        link = new HandoverLink(loop, platform.folder(), succession, log::accept);
        this.module = module;
    }

    /** What passes between this process and one that it replaces or that replaces it. */
    private final class Succession implements HandoverLink.Owner {
        private Future<?> counting;

        @Override
        public Map<String, Object> state() {
            OperatorDrains out = membership.takenOut();
            Map<String, Object> site = Map.of(
                    "out",
                    List.copyOf(out.out()),
                    "back",
                    out.back(),
                    "list",
                    membership.told().toJson(config.boot()),
                    "classes",
                    config.boot().classes(),
                    "learnt",
                    dispatcher.learnedState());
            if (gateway == null) {
                return site;
            }
            Map<String, Object> all = new LinkedHashMap<>(site);
            all.put("pools", gateway.state());
            return all;
        }

        @Override
        public void told(Map<String, Object> message) {
            if (message.get("down") instanceof String id) {
                onCall.down(id);
            } else if (message.get("up") instanceof String id) {
                onCall.up(id);
            } else if (message.get("open") instanceof Number open) {
                descriptors.leave(open.intValue() + OWN_FILES);
            } else if (message.containsKey("serving")) {
                share(HALF);
            }
        }

        @Override
        public void accompanied(boolean by) {
            if (by && counting == null) {
                counting = loop.scheduleWithFixedDelay(
                        () -> link.sendToPeer(Map.of("open", descriptors.open())), 0, COUNT_MS, TimeUnit.MILLISECONDS);
            } else if (!by && counting != null) {
                counting.cancel(false);
                counting = null;
            }
            if (!by) {
                descriptors.leave(0);
                share(1);
            }
        }

        public void inherit(Map<String, Object> state) {
            try {
                HandoverState site = HandoverState.of(state, config.boot());
                membership.inherit(site.out(), site.back(), site.list());
                dispatcher.restore(site.learnedState());
                if (gateway != null && state.get("pools") instanceof Map<?, ?> pools) {
                    gateway.inherit(pools);
                }
                hasList |= site.list().list().stream().anyMatch(t -> t.server().state() == EndpointState.UP);
                log.accept("took over from the process before: "
                        + site.list().list().size() + " upstreams, "
                        + site.out().size() + " out");
            } catch (ClassCastException | NullPointerException | IllegalArgumentException e) {
                log.accept("what the process before knows can't be read: " + e);
            }
        }
    }

    /** What operators ask for; on the loop's thread. */
    private final class OnCall implements Operations {
        @Override
        public String unreadiness() {
            return clients.isStopping()
                    ? "stopping"
                    : !rehearsed ? "not ready: starting" : readied.getCount() > 0 ? "no list of upstreams yet" : null;
        }

        @Override
        public String note() {
            return membership.holding().summary();
        }

        public boolean down(String id) {
            return membership.setDown(id) || gateway != null && gateway.setDown(id);
        }

        public boolean up(String id) {
            return membership.setUp(id) || gateway != null && gateway.setUp(id);
        }

        @Override
        public boolean setDown(String id) {
            boolean known = down(id);
            if (known) {
                link.sendToPeer(Map.of("down", id));
            }
            log.event(
                    "set-down " + id + (known ? "" : ": no such upstream"),
                    "call",
                    "set-down",
                    "upstream",
                    id,
                    "known",
                    known);
            return known;
        }

        @Override
        public boolean setUp(String id) {
            boolean known = up(id);
            if (known) {
                link.sendToPeer(Map.of("up", id));
            }
            log.event(
                    "set-up " + id + (known ? "" : ": no such upstream"),
                    "call",
                    "set-up",
                    "upstream",
                    id,
                    "known",
                    known);
            return known;
        }
    }

    /** Runs a balancer until it is told to stop; returns only if it can't start. */
    public static int serve(Map<String, String> environment) {
        ReloadSignal reloadSignal = ReloadSignal.take(); // first of all: until then it ends the process
        Slf4jProvider.install();
        Log log = Log.to(LoggerFactory.getLogger("load-balancer"));
        int code = serve(environment, reloadSignal, log);
        Slf4jProvider.sink().drain(SAY_MS);
        return code;
    }

    private static int serve(Map<String, String> environment, ReloadSignal reloadSignal, Log log) {
        BalancerProcess node;
        InetSocketAddress at;
        try {
            String folder = environment.get("TMPDIR");
            Platform platform = new Platform(
                    InheritedListener.find(environment), folder == null || folder.isBlank() ? null : Path.of(folder));
            node = new BalancerProcess(BalancerConfig.read(environment), platform, JsqDasPolicy::new, true, log);
        } catch (BalancerConfig.Bad | IOException e) {
            log.accept(e.getMessage());
            return 1;
        }
        String operators = environment.get("ROUTER_OPERATOR_FILE");
        Path operatorFile = operators == null || operators.isBlank() ? null : Path.of(operators.strip());
        if (operatorFile != null && !node.operate(operatorFile, true)) {
            return 1;
        }
        if (node.config.admin() != null) {
            try {
                node.listenForOperators();
            } catch (Exception e) {
                log.accept("can't listen for operators on " + node.config.admin() + ": " + e.getMessage());
                return 1;
            }
        }
        try {
            at = node.start();
        } catch (Exception e) { // sync() rethrows what bind failed with, whatever its type
            log.accept("can't listen on " + node.config.listen() + ": " + e.getMessage());
            return 1;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            node.stop();
            Slf4jProvider.sink().drain(FLUSH_MS);
            // Without this the exit code would tell of the signal, not of the orderly end.
            Runtime.getRuntime().halt(0);
        }));
        if (reloadSignal.lack() != null) {
            log.warn(reloadSignal.lack(), "sighup", "ignored");
        }
        reloadSignal.onEach(() -> {
            node.reload(() -> BalancerConfig.again(environment));
            if (operatorFile != null) {
                node.operate(operatorFile, true);
            }
        });
        // Said only now: whoever reads it may send the signals at once.
        log.accept("listening on " + at.getAddress().getHostAddress() + ":" + at.getPort());
        node.await();
        return 0;
    }

    /** Takes operators' calls from here on, also before it is ready; returns the address in use. */
    public InetSocketAddress listenForOperators() throws IOException {
        return admin.listen(config.admin());
    }

    /** Listens and begins to work; returns the address in use. */
    public InetSocketAddress start() throws IOException {
        boolean successor = link.seek();
        boolean aside = platform.listener() != null && !rehearsed;
        InetSocketAddress at = clients.listen(config.listen(), platform.listener(), !successor);
        UnixDomainSocketAddress via = aside && platform.folder() != null
                ? UnixDomainSocketAddress.of(platform.folder()
                        .resolve("rehearsal-" + ProcessHandle.current().pid() + ".sock"))
                : null;
        if (via != null) {
            Files.deleteIfExists(via.getPath());
        }
        Channel own = via == null ? null : clients.listenForWarmUp(via);
        loop.execute(() -> {
            begin();
            discovery.start();
            if (rehearsed || aside && own == null) {
                takeOver();
                return;
            }
            WarmUp rehearsal = new WarmUp(loop, config, via, () -> {
                clients.setWarmUp(null);
                if (own != null) {
                    own.close();
                }
                takeOver();
            });
            clients.setWarmUp(rehearsal);
            rehearsal.start(at);
        });
        return at;
    }

    // Where lists are pushed, what the agent has counts as told from the first moment on: by an older list requests
    // would go to upstreams that have left. An agent that is down is not waited for without end. Long before that the
    // process is ready: what comes meanwhile waits in the module, or is refused in time, as where no upstream is free.
    private void begin() {
        if (config.boot().settings().discovery() == DiscoveryMode.POLL) {
            listed(EndpointListKind.CACHED, config.known());
            return;
        }
        membership.listed(
                EndpointListKind.CACHED, new EndpointList(config.known().rev(), true, List.of()));
        membership.hold(config.known());
        loop.schedule(
                () -> {
                    if (!hasList && membership.anyUp()) {
                        log.accept("discovery is silent: ready, and nothing is sent by the old list yet");
                        hasList = true;
                        readyIfSo();
                    }
                },
                discovery.startWithin(),
                TimeUnit.MICROSECONDS);
        loop.schedule(
                () -> {
                    membership.release();
                },
                LIST_MS,
                TimeUnit.MILLISECONDS);
    }

    private void share(double part) {
        dispatcher.setSlowStartFraction(part);
        if (gateway != null) {
            gateway.share(part);
        }
    }

    // The last thing before it serves: what the process before knows should be as fresh as can be.
    private void takeOver() {
        link.ask(state -> {
            if (state != null) {
                succession.inherit(state);
                share(HALF);
            }
            rehearsed = true;
            readyIfSo();
        });
    }

    public boolean awaitReady(long millis) throws InterruptedException {
        return readied.await(millis, TimeUnit.MILLISECONDS);
    }

    /** What operators may ask for; to be called on the loop's thread. */
    public Operations operations() {
        return onCall;
    }

    public EventLoop loop() {
        return loop;
    }

    /**
     * Takes over a configuration that has been replaced: its settings and its discovery. All else in it waits
     * for a restart. One that can't be used changes nothing. Not for the loop's thread: it reads a file.
     */
    public synchronized void reload(Supplier<BalancerConfig> read) {
        BalancerConfig fresh;
        try {
            fresh = read.get();
            String lacks = fresh.lacks(config);
            if (lacks != null) {
                throw new BalancerConfig.Bad("settings: " + lacks + ": was there before and is missing");
            }
        } catch (BalancerConfig.Bad e) {
            log.warn("configuration not taken over: " + e.getMessage(), "config", "kept");
            return;
        }
        SettingsReader.Boot before = config.boot();
        config = fresh;
        log.accept("configuration taken over: discovery at "
                + fresh.discovery().getAddress().getHostAddress()
                + ":" + fresh.discovery().getPort()
                + (fresh.boot().equals(before)
                        ? ""
                        : "; new settings, classes "
                                + String.join(", ", fresh.boot().classes())));
        loop.execute(() -> {
            if (!fresh.boot().equals(before)) {
                membership.renumber(before, fresh.boot());
                dispatcher.reconfigure(fresh.boot());
                upstreams.reconfigure(fresh.boot());
                clients.reconfigure(fresh.boot());
                if (gateway != null) {
                    gateway.reconfigure(fresh.boot());
                }
                discovery.reconfigure(fresh.boot());
            }
            discovery.moveTo(fresh.discovery());
        });
    }

    /**
     * Goes by that operator file from here on, or keeps what it had where the file can't be used. Not for the loop's
     * thread: it reads a file.
     *
     * @param logs whether the process's own log goes by it as well
     * @return whether the file was taken over
     */
    public synchronized boolean operate(Path file, boolean logs) {
        OperatorConfig next;
        try {
            next = OperatorFileLoader.read(file, config.boot());
        } catch (BalancerConfig.Bad e) {
            log.warn(e.getMessage(), "operator_file", "refused");
            return false;
        }
        next.notes().forEach(log::accept);
        if (logs) {
            Slf4jProvider.sink().configure(next.log().json(), next.log().queue());
        }
        loop.submit(() -> {
                    if (gateway == null) {
                        UpstreamPool.Ground ground = new UpstreamPool.Ground(
                                loop,
                                module,
                                config.seed(),
                                config.upstreams(),
                                descriptors,
                                clients::closeLeastNeeded,
                                log);
                        gateway = new RoutingGateway(
                                new RoutingGateway.Site(dispatcher, membership),
                                ground,
                                config.boot(),
                                descriptors.forUpstreams(),
                                ClientListener.MAX_BODY_MEMORY_BYTES);
                        clients.setRequestHandler(gateway);
                    }
                    gateway.operate(next);
                    log.event(
                            "operator file taken over: " + next.pools().size() + " pools, "
                                    + next.front().routes().size() + " routes",
                            "operator_file",
                            "taken",
                            "pools",
                            next.pools().size(),
                            "routes",
                            next.front().routes().size());
                })
                .syncUninterruptibly();
        return true;
    }

    public RoutingGateway gateway() {
        return gateway;
    }

    // Ready once an upstream may be sent to: what was known from before will do until discovery answers.
    public void listed(EndpointListKind kind, EndpointList targets) {
        membership.listed(kind, targets);
        boolean usable = kind == EndpointListKind.SNAPSHOT || targets != null && membership.anyUp();
        if (usable) {
            hasList = true;
            readyIfSo();
        }
    }

    private void readyIfSo() {
        if (hasList && rehearsed && readied.getCount() > 0) {
            clients.startAccepting();
            clients.markReady();
            readied.countDown();
            link.sendToPeer(Map.of("serving", true));
            link.offer();
        }
    }

    /** Ends in order, as after SIGTERM, and returns when all that was taken has been answered. */
    public void stop() {
        loop.execute(() -> {
            clients.startStopping();
        });
        loop.schedule(
                () -> {
                    clients.close();
                    admin.close();
                    loop.schedule(
                            () -> {
                                patient = false;
                            },
                            PARTIAL_MS,
                            TimeUnit.MILLISECONDS);
                    endWhenEmpty();
                },
                LINGER_MS,
                TimeUnit.MILLISECONDS);
        await();
        log.accept("stopped: " + dispatcher.summary() + (gateway == null ? "" : gateway.summary()));
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    // Where a successor serves already, connections that hold a request, whole or in part, are seen to their
    // end. Where none does, each moment until the exit is one in which nobody serves: only answers are waited for.
    // What has been taken is answered in any case.
    private void endWhenEmpty() {
        boolean waits = platform.listener() == null ? clients.hasPendingResponses() : !clients.isEmpty();
        if (waits && patient || clients.isStreaming()) {
            loop.schedule(this::endWhenEmpty, FLUSH_MS, TimeUnit.MILLISECONDS);
            return;
        }
        dispatcher.whenIdle(() -> {
            if (gateway == null) {
                left();
            } else {
                gateway.whenIdle(this::left);
            }
        });
    }

    // Looks once more: a request may have become whole since, or an answer may still wait for its client.
    private void left() {
        loop.schedule(
                () -> {
                    if (clients.hasPendingResponses() && patient) {
                        endWhenEmpty();
                        return;
                    }
                    link.close();
                    stopped.countDown();
                },
                FLUSH_MS,
                TimeUnit.MILLISECONDS);
    }

    private void await() {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
