package loadbalancer.routing;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointSubset;
import loadbalancer.discovery.Membership;
import loadbalancer.discovery.SubsetFailover;
import loadbalancer.dispatch.RequestDispatcher;
import loadbalancer.drain.OperatorDrains;
import loadbalancer.handover.HandoverState;
import loadbalancer.logs.Log;
import loadbalancer.operator.PoolSpec;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.routes.TrafficSplit;
import loadbalancer.settings.BootSettings;
import loadbalancer.upstream.UpstreamConnectionPool;

/**
 * One pool beside the platform's own: a policy with its endpoint list, its upstream connections and its budgets. Made
 * from an entry of the operator file, which may change while the pool runs. Event loop only.
 */
final class UpstreamPool {
    private final PoolEnvironment environment;
    private final RequestDispatcher dispatcher;
    private final UpstreamConnectionPool upstreams;
    private final Membership membership;
    private final DiscoveryClient discovery; // null where the list stands in the operator file
    private final PoolConnectionBudget connections;
    private final PoolMemoryBudget memory;
    private PoolSpec spec;
    private BootSettings boot;

    /**
     * Creates a pool that has no endpoints until {@link #start}.
     *
     * @param site the platform's settings, which the pool's own overrides are applied to
     */
    UpstreamPool(PoolEnvironment environment, PoolSpec spec, BootSettings site, PoolLimits limits) {
        this.environment = environment;
        this.spec = spec;
        connections = new PoolConnectionBudget(environment.connections(), limits.maxConnections());
        memory = new PoolMemoryBudget(limits.maxBodyBytes());
        boot = PoolSettings.derive(site, spec);
        Log log = line -> environment.log().info("pool " + spec.name() + ": " + line);
        long seed = environment.seed() ^ TrafficSplit.hash(spec.name());
        dispatcher = new RequestDispatcher(
                environment.loop(), boot, environment.policyFactory().apply(boot.policySettings(), seed), log);
        upstreams = new UpstreamConnectionPool(environment.loop(), boot, connections, dispatcher::nowMicros);
        upstreams.setReclaimer(() -> upstreams.closeLongestIdle()
                || environment.shedClientConnection().getAsBoolean());
        EndpointSubset subset = new EndpointSubset(
                environment.maxEndpoints(), boot.policySettings().rank());
        membership = new Membership(subset, new OperatorDrains(), dispatcher::nowMicros, dispatcher::updateEndpoints);
        subset.onChange(dispatcher::updateSubset);
        discovery = spec.discovery() == null ? null : discoveryClient(spec.discovery(), subset, log);
        if (discovery != null) {
            new SubsetFailover(environment.loop(), membership, discovery, seed);
        }
        dispatcher.attach(upstreams, discovery);
    }

    private DiscoveryClient discoveryClient(InetSocketAddress address, EndpointSubset subset, Log log) {
        return new DiscoveryClient(
                environment.loop(), address, boot, subset, 0, dispatcher::nowMicros, membership::update, log::info);
    }

    /** Begins to learn its endpoint list. */
    void start() {
        if (discovery == null) {
            membership.update(EndpointListKind.CACHED, staticList());
            membership.update(EndpointListKind.SNAPSHOT, staticList());
        } else {
            membership.update(EndpointListKind.CACHED, new EndpointList(0, true, List.of()));
            discovery.start();
        }
    }

    private EndpointList staticList() {
        List<EndpointList.Entry> endpoints = new ArrayList<>();
        for (InetSocketAddress address : spec.endpoints()) {
            String id = spec.name() + "/" + address.getAddress().getHostAddress() + ":" + address.getPort();
            Endpoint endpoint = new Endpoint(
                    id, EndpointState.UP, 0, 1, -1, -1, boot.policySettings().zone());
            endpoints.add(new EndpointList.Entry(endpoint, address));
        }
        return new EndpointList(0, true, endpoints);
    }

    /** Whether it can go on by that entry: a pool can't change between a static list and discovery. */
    boolean canBecome(PoolSpec next) {
        return (next.discovery() == null) == (discovery == null);
    }

    /** Changes the limits of its budgets. */
    void setLimits(PoolLimits limits) {
        connections.setMaxOpen(limits.maxConnections());
        memory.setMaxBytes(limits.maxBodyBytes());
    }

    /**
     * Goes on by another entry of the operator file, and by other settings of the platform.
     *
     * @param next an entry for which {@link #canBecome} is true
     */
    void reconfigure(PoolSpec next, BootSettings site) {
        PoolSpec former = spec;
        spec = next;
        applySettings(PoolSettings.derive(site, next));
        if (discovery != null) {
            discovery.moveTo(next.discovery());
        } else if (!former.sameSource(next)) {
            membership.update(EndpointListKind.SNAPSHOT, staticList());
        }
    }

    private void applySettings(BootSettings next) {
        if (next.equals(boot)) {
            return;
        }
        BootSettings former = boot;
        boot = next;
        membership.renumber(former, next);
        dispatcher.reconfigure(next);
        upstreams.reconfigure(next);
        if (discovery != null) {
            discovery.reconfigure(next);
        }
    }

    /**
     * Closes the pool once all that it has taken has been answered; it must not be given more.
     *
     * @param whenClosed runs on the event loop after that
     */
    void drain(Runnable whenClosed) {
        dispatcher.whenIdle(() -> {
            dispatcher.retire();
            if (discovery != null) {
                discovery.watch(false);
            }
            upstreams.close();
            whenClosed.run();
        });
    }

    /** The pool's state as a successor starts from it. */
    HandoverState handoverState() {
        OperatorDrains drains = membership.drains();
        return new HandoverState(
                drains.drained(), drains.restoredAtMicros(), membership.listed(), dispatcher.learnedState(), boot);
    }

    /** Goes on from what another process of this balancer knows of the pool of that name. */
    void restore(HandoverState state) {
        // A list in the operator file is this process's own: the other may have had another file.
        EndpointList list = discovery == null ? new EndpointList(-1, true, List.of()) : state.endpoints();
        membership.restoreState(state.drained(), state.restoredAtMicros(), list);
        dispatcher.restore(state.learnedState());
    }

    BootSettings boot() {
        return boot;
    }

    String name() {
        return spec.name();
    }

    PoolSpec spec() {
        return spec;
    }

    RequestDispatcher dispatcher() {
        return dispatcher;
    }

    Membership membership() {
        return membership;
    }

    PoolMemoryBudget memory() {
        return memory;
    }
}
