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
import loadbalancer.dispatch.UnansweredIds;
import loadbalancer.drain.OperatorDrains;
import loadbalancer.http.ClientListener;
import loadbalancer.http.UnreadTimeEstimator;
import loadbalancer.logs.Log;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicySettings;
import loadbalancer.routing.RoutingGateway;
import loadbalancer.transport.MemoryBudgets;
import loadbalancer.upstream.UpstreamConnectionPool;

/**
 * One balancer with its sockets: creates and connects its components, starts them and stops them. All of them run on
 * one event loop. The methods of this class may be called on any other thread, except where they say otherwise.
 */
final class BalancerProcess {
    /** How long the cached list is withheld where discovery pushes lists but does not respond. */
    private static final long CACHED_LIST_HOLD_MILLIS = 10_000;

    private final Log log;
    private final UnreadTimeEstimator unreadTime = new UnreadTimeEstimator(System::nanoTime);
    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, (Executor) null, SelectorProvider.provider(), unreadTime);
    private final EventLoop loop = group.next();
    private final UnansweredIds unansweredIds = new UnansweredIds();
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
     * What the platform passes to a process besides its configuration; each component may be null.
     *
     * @param listener the listening socket for clients, if the platform holds it
     * @param handoverDirectory the directory of the handover sockets, where a process finds its predecessor
     */
    record Platform(ServerSocketChannel listener, Path handoverDirectory) {}

    /**
     * Creates a process that opens its own listening socket and takes no part in a handover.
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
     * Creates a process without starting it.
     *
     * @param policies creates the policy of a pool from its settings and a seed
     * @param warmsUp whether the process warms up with requests of its own before it is ready
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
        RequestDispatcher dispatcher = new RequestDispatcher(loop, config.boot(), policy, log, unansweredIds);
        MemoryBudgets memory = MemoryBudgets.create();
        UpstreamConnectionPool upstreams =
                new UpstreamConnectionPool(loop, config.boot(), descriptors, memory.responses(), dispatcher::nowMicros);
        EndpointSubset subset = new EndpointSubset(
                config.maxEndpoints(), config.boot().policySettings().rank());
        discovery = createDiscovery(config, subset, dispatcher);
        clients = new ClientListener(
                loop,
                config.boot(),
                dispatcher,
                descriptors,
                memory,
                upstreams::closeLongestIdle,
                unreadTime::estimateUnreadMicros);
        upstreams.setReclaimer(clients::closeLeastNeeded);
        dispatcher.attach(upstreams, discovery);
        membership = new Membership(subset, new OperatorDrains(), dispatcher::nowMicros, dispatcher::updateEndpoints);
        subset.onChange(held -> dispatcher.updateSubset(held));
        new SubsetFailover(loop, membership, discovery, config.seed());
        clients.setReadinessNote(subset::summary);
        pools = new BalancerPools(membership, dispatcher);
        reconfiguration = new Reconfiguration(
                config,
                new Reconfiguration.Components(
                        loop,
                        policies,
                        descriptors,
                        memory,
                        dispatcher,
                        unansweredIds,
                        upstreams,
                        clients,
                        membership,
                        discovery,
                        pools),
                log);
        handover = createHandover(descriptors);
        readiness = new Readiness(warmsUp, this::serveClients);
        shutdown = new GracefulShutdown(
                loop, clients, pools, platform.listener() != null, this::closeListeners, handover::close);
        operatorCalls = new OperatorCalls(readiness, shutdown, pools, handover, subset::summary, log);
        admin = new AdminListener(loop, operatorCalls);
    }

    private HandoverParticipant createHandover(DescriptorBudget descriptors) {
        return new HandoverParticipant(
                loop, platform.handoverDirectory(), pools, descriptors, unansweredIds, reconfiguration::settings, log);
    }

    private DiscoveryClient createDiscovery(
            BalancerConfig config, EndpointSubset subset, RequestDispatcher dispatcher) {
        return new DiscoveryClient(
                loop,
                config.discovery(),
                config.boot(),
                subset,
                config.knownList().version(),
                dispatcher::nowMicros,
                this::endpointsListed,
                log::info);
    }

    /**
     * Starts to accept operators' calls; may be called before the process is ready.
     *
     * @return the address that the listener is bound to
     */
    InetSocketAddress listenForOperators() throws IOException {
        return admin.listen(config().admin());
    }

    /**
     * Opens the listener for clients and starts the process.
     *
     * @return the address that the listener is bound to
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

    // Warm-up requests to a listener that is shared with another process could reach that process, so they need a
    // socket
    // of their own. Null where none is needed or there is no directory for it.
    private UnixDomainSocketAddress warmUpAddress() {
        if (!warmsUp || platform.listener() == null || platform.handoverDirectory() == null) {
            return null;
        }
        String name = "rehearsal-" + ProcessHandle.current().pid() + ".sock";
        return UnixDomainSocketAddress.of(platform.handoverDirectory().resolve(name));
    }

    // Where lists are pushed, the balancer counts as notified of the agent's list from its start on, and an older list
    // could send requests to endpoints that have left. The cached list is therefore withheld until the agent responds,
    // but no longer than CACHED_LIST_HOLD_MILLIS, as the agent may be down. The process becomes ready long before that;
    // until there is a list the policy queues requests or rejects them in time, as when no endpoint is free.
    private void applyKnownList() {
        EndpointList known = config().knownList();
        if (config().boot().policySettings().discovery() == DiscoveryMode.POLL) {
            endpointsListed(EndpointListKind.CACHED, known);
            return;
        }
        membership.update(EndpointListKind.CACHED, new EndpointList(known.version(), true, List.of()));
        membership.holdBack(known);
        loop.schedule(this::discoveryTimedOut, discovery.startupTimeoutMicros(), TimeUnit.MICROSECONDS);
        loop.schedule(() -> membership.release(), CACHED_LIST_HOLD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void discoveryTimedOut() {
        if (!readiness.hasEndpoints() && membership.hasUsableEndpoint()) {
            log.info("no response from discovery: ready, and nothing is sent by the cached list yet");
            readiness.endpointsAvailable();
        }
    }

    // The process is ready once the list has a usable endpoint; the cached list suffices until discovery responds.
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

    // This is the last step before the process serves, so that the predecessor's state is as recent as possible.
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
     * @return false if it does not within the time-out
     */
    boolean awaitReady(long timeoutMillis) throws InterruptedException {
        return readiness.await(timeoutMillis);
    }

    /**
     * Applies the settings and the discovery address of a replaced configuration. An invalid configuration changes
     * nothing.
     *
     * @param reader reads the configuration, on the caller's thread
     */
    void reload(Supplier<BalancerConfig> reader) {
        reconfiguration.reload(reader);
    }

    /**
     * Applies an operator file; an invalid one leaves the previous one in force.
     *
     * @param configuresLog whether the file also configures the log of the process
     * @return whether the file is in force
     */
    boolean applyOperatorFile(Path file, boolean configuresLog) {
        return reconfiguration.applyOperatorFile(file, configuresLog);
    }

    /** Stops gracefully, as after SIGTERM; returns once all accepted requests have been answered. */
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

    /** Returns the operators' commands; to be called on the event loop's thread only. */
    OperatorActions operatorActions() {
        return operatorCalls;
    }

    /** Returns the event loop that runs the whole process. */
    EventLoop loop() {
        return loop;
    }

    /**
     * Returns the gateway that routes by the operator file; null while no operator file is in force. To be used on the
     * event loop's thread only.
     */
    RoutingGateway gateway() {
        return pools.gateway();
    }
}
