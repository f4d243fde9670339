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
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import loadbalancer.admin.AdminListener;
import loadbalancer.admin.OperatorActions;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointSubset;
import loadbalancer.discovery.Membership;
import loadbalancer.discovery.SubsetFailover;
import loadbalancer.dispatch.RequestDispatcher;
import loadbalancer.drain.OperatorDrains;
import loadbalancer.http.ClientListener;
import loadbalancer.http.UnreadTimeEstimator;
import loadbalancer.logs.Log;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicySettings;
import loadbalancer.routing.RoutingGateway;
import loadbalancer.upstream.UpstreamConnectionPool;

/**
 * One balancer with its sockets: puts its parts together, starts them and stops them. All of it runs on one event loop;
 * the methods here may be called on any other thread, save where they say otherwise.
 */
final class BalancerProcess {
    /** How long nothing is sent by the list of the start where lists are pushed and discovery is silent. */
    private static final long OLD_LIST_HOLD_MILLIS = 10_000;

    private final Log log;
    private final UnreadTimeEstimator unreadTime = new UnreadTimeEstimator(System::nanoTime);
    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, (Executor) null, SelectorProvider.provider(), unreadTime);
    private final EventLoop loop = group.next();
    private final Platform platform;
    private final boolean warmsUp;
    private final DiscoveryClient discovery;
    private final ClientListener clients;
    private final Membership membership;
    private final AdminListener admin;
    private final BalancerPools pools;
    private final HandoverParticipant handover;
    private final Readiness readiness;
    private final GracefulShutdown shutdown;
    private final Reconfiguration reconfiguration;
    private final OperatorCalls operatorCalls;

    /**
     * What a process is given besides its configuration; each may be null.
     *
     * @param listener the clients' listening socket, where the platform holds it
     * @param handoverDirectory where a process finds its predecessor
     */
    record Platform(ServerSocketChannel listener, Path handoverDirectory) {}

    /**
     * Creates a process that opens its own listening socket and has neither predecessor nor successor.
     *
     * @see #BalancerProcess(BalancerConfig, Platform, BiFunction, boolean, Log)
     */
    BalancerProcess(
            BalancerConfig config,
            BiFunction<PolicySettings, Long, LoadBalancingPolicy> policies,
            boolean warmsUp,
            Log log) {
        this(config, new Platform(null, null), policies, warmsUp, log);
    }

    /**
     * Creates a process that is not started.
     *
     * @param policies makes the policy of a pool from its settings and a seed
     * @param warmsUp whether requests of its own warm the process up before it is ready
     */
    BalancerProcess(
            BalancerConfig config,
            Platform platform,
            BiFunction<PolicySettings, Long, LoadBalancingPolicy> policies,
            boolean warmsUp,
            Log log) {
        this.platform = platform;
        this.warmsUp = warmsUp;
        this.log = log;
        DescriptorBudget descriptors = new DescriptorBudget(config.maxDescriptors());
        LoadBalancingPolicy policy = policies.apply(config.boot().policySettings(), config.seed());
        RequestDispatcher dispatcher = new RequestDispatcher(loop, config.boot(), policy, log);
        UpstreamConnectionPool upstreams =
                new UpstreamConnectionPool(loop, config.boot(), descriptors, dispatcher::nowMicros);
        EndpointSubset subset = new EndpointSubset(
                config.maxEndpoints(), config.boot().policySettings().rank());
        discovery = new DiscoveryClient(
                loop,
                config.discovery(),
                config.boot(),
                subset,
                config.knownList().version(),
                dispatcher::nowMicros,
                this::endpointsListed,
                log::info);
        clients = new ClientListener(
                loop, config.boot(), dispatcher, descriptors, upstreams::closeLongestIdle, unreadTime::unreadMicros);
        upstreams.setReclaimer(clients::closeLeastNeeded);
        dispatcher.attach(upstreams, discovery);
        membership = new Membership(subset, new OperatorDrains(), dispatcher::nowMicros, dispatcher::updateEndpoints);
        subset.onChange(held -> dispatcher.updateSubset(held));
        new SubsetFailover(loop, membership, discovery, config.seed());
        clients.setReadinessNote(subset::summary);
        pools = new BalancerPools(membership, dispatcher);
        reconfiguration = new Reconfiguration(
                config,
                new Reconfiguration.Parts(
                        loop, policies, descriptors, dispatcher, upstreams, clients, membership, discovery, pools),
                log);
        handover = new HandoverParticipant(
                loop, platform.handoverDirectory(), pools, descriptors, reconfiguration::settings, log);
        readiness = new Readiness(warmsUp, this::serveClients);
        shutdown = new GracefulShutdown(
                loop, clients, pools, platform.listener() != null, this::closeListeners, handover::close);
        operatorCalls = new OperatorCalls(readiness, shutdown, pools, handover, subset::summary, log);
        admin = new AdminListener(loop, operatorCalls);
    }

    /**
     * Takes operators' calls from here on, also before the process is ready.
     *
     * @return the address in use
     */
    InetSocketAddress listenForOperators() throws IOException {
        return admin.listen(config().admin());
    }

    /**
     * Listens and begins to work.
     *
     * @return the address in use
     */
    InetSocketAddress start() throws IOException {
        boolean hasPredecessor = handover.connectToPredecessor();
        InetSocketAddress address = clients.listen(config().listen(), platform.listener(), !hasPredecessor);
        UnixDomainSocketAddress warmUpAddress = warmUpAddress();
        if (warmUpAddress != null) {
            Files.deleteIfExists(warmUpAddress.getPath());
        }
        Channel warmUpListener = warmUpAddress == null ? null : clients.listenForWarmUp(warmUpAddress);
        loop.execute(() -> {
            applyKnownList();
            discovery.start();
            if (!warmsUp || platform.listener() != null && warmUpListener == null) {
                restoreFromPredecessor();
            } else {
                warmUp(address, warmUpAddress, warmUpListener);
            }
        });
        return address;
    }

    // Where the platform's listener is shared, requests of the warm-up sent to it could reach the other process.
    private UnixDomainSocketAddress warmUpAddress() {
        if (!warmsUp || platform.listener() == null || platform.handoverDirectory() == null) {
            return null;
        }
        String name = "rehearsal-" + ProcessHandle.current().pid() + ".sock";
        return UnixDomainSocketAddress.of(platform.handoverDirectory().resolve(name));
    }

    // Where lists are pushed, what the agent has counts as notified from the first moment on: by an older list requests
    // would go to endpoints that have left. An agent that is down is not waited for without end. Long before that the
    // process is ready: what comes meanwhile is queued in the policy, or rejected in time, as where no endpoint is
    // free.
    private void applyKnownList() {
        EndpointList known = config().knownList();
        if (config().boot().policySettings().discovery() == DiscoveryMode.POLL) {
            endpointsListed(EndpointListKind.CACHED, known);
            return;
        }
        membership.update(EndpointListKind.CACHED, new EndpointList(known.version(), true, List.of()));
        membership.holdBack(known);
        loop.schedule(this::discoverySilent, discovery.startupTimeoutMicros(), TimeUnit.MICROSECONDS);
        loop.schedule(() -> membership.release(), OLD_LIST_HOLD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void discoverySilent() {
        if (!readiness.hasEndpoints() && membership.hasUsableEndpoint()) {
            log.info("no response from discovery: ready, and nothing is sent by the cached list yet");
            readiness.endpointsAvailable();
        }
    }

    // Ready once an endpoint may be sent to: the cached list will do until discovery answers.
    void endpointsListed(EndpointListKind kind, EndpointList endpoints) {
        membership.update(kind, endpoints);
        if (kind == EndpointListKind.SNAPSHOT || endpoints != null && membership.hasUsableEndpoint()) {
            readiness.endpointsAvailable();
        }
    }

    private void warmUp(InetSocketAddress address, UnixDomainSocketAddress warmUpAddress, Channel warmUpListener) {
        WarmUp warmUp = new WarmUp(loop, config(), warmUpAddress, () -> {
            clients.setWarmUp(null);
            if (warmUpListener != null) {
                warmUpListener.close();
            }
            restoreFromPredecessor();
        });
        clients.setWarmUp(warmUp);
        warmUp.start(address);
    }

    // The last step before the process serves: the predecessor's state should be as fresh as can be.
    private void restoreFromPredecessor() {
        handover.restoreFromPredecessor(hasEndpoints -> {
            if (hasEndpoints) {
                readiness.endpointsAvailable();
            }
            readiness.warmUpCompleted();
        });
    }

    private void serveClients() {
        clients.startAccepting();
        clients.markReady();
        handover.announceServing();
    }

    /**
     * Waits until the process serves clients.
     *
     * @return false where it does not after that time
     */
    boolean awaitReady(long millis) throws InterruptedException {
        return readiness.await(millis);
    }

    /**
     * Puts a replaced configuration into force: its settings and its discovery. One that cannot be used changes
     * nothing.
     *
     * @param read reads the configuration, on the caller's thread
     */
    void reload(Supplier<BalancerConfig> read) {
        reconfiguration.reload(read);
    }

    /**
     * Puts an operator file into force, or keeps the one before where it cannot be used.
     *
     * @param configuresLog whether the process's own log goes by it as well
     * @return whether the file is in force
     */
    boolean operate(Path file, boolean configuresLog) {
        return reconfiguration.applyOperatorFile(file, configuresLog);
    }

    /** Stops in order, as after SIGTERM, and returns when all that was accepted has been answered. */
    void stop() {
        shutdown.begin();
        shutdown.await();
        log.info("stopped: " + pools.summary());
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void closeListeners() {
        clients.close();
        admin.close();
    }

    /** Waits until the process has stopped; returns early where the thread is interrupted. */
    void awaitStopped() {
        shutdown.await();
    }

    /** Returns the configuration in force. */
    BalancerConfig config() {
        return reconfiguration.config();
    }

    /** Returns what operators may do, for the event loop's thread. */
    OperatorActions operatorActions() {
        return operatorCalls;
    }

    /** Returns the event loop that all of the process runs on. */
    EventLoop loop() {
        return loop;
    }

    /** Returns what routes by the operator file, for the event loop's thread; null without a file. */
    RoutingGateway gateway() {
        return pools.gateway();
    }
}
