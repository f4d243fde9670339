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
 * A pool of the operator file: a policy with its endpoint list, its upstream connections and its budgets. The file's
 * entry for the pool may change while the pool runs. Belongs to the event loop's thread.
 */
final class UpstreamPool {
    private final PoolEnvironment environment;
    private final RequestDispatcher dispatcher;
    private final UpstreamConnectionPool upstreams;
    private final Membership membership;
    private final DiscoveryClient discovery; // null if the operator file lists the endpoints
    private final PoolConnectionBudget connectionBudget;
    private final PoolMemoryBudget memoryBudget;
    private PoolSpec spec;
    private BootSettings settings;

    /**
     * Creates a pool that has no endpoints until {@link #start}.
     *
     * @param siteSettings the site's settings, to which the pool's own overrides are applied
     */
    UpstreamPool(PoolEnvironment environment, PoolSpec spec, BootSettings siteSettings, PoolLimits limits) {
        this.environment = environment;
        this.spec = spec;
        connectionBudget = new PoolConnectionBudget(environment.connectionBudget(), limits.maxConnections());
        memoryBudget = new PoolMemoryBudget(limits.maxBodyBytes());
        settings = PoolSettings.derive(siteSettings, spec);
        Log log = line -> environment.log().info("pool " + spec.name() + ": " + line);
        long seed = environment.seed() ^ TrafficSplit.hash(spec.name());
        dispatcher = new RequestDispatcher(
                environment.loop(),
                settings,
                environment.policyFactory().apply(settings.policySettings(), seed),
                log,
                environment.unansweredIds());
        upstreams = new UpstreamConnectionPool(
                environment.loop(), settings, connectionBudget, environment.responseMemory(), dispatcher::nowMicros);
        upstreams.setReclaimer(() -> upstreams.closeLongestIdle()
                || environment.closeIdleClientConnection().getAsBoolean());
        EndpointSubset subset = new EndpointSubset(
                environment.maxEndpoints(), settings.policySettings().rank());
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
                environment.loop(), address, settings, subset, 0, dispatcher::nowMicros, membership::update, log::info);
    }

    /** Loads the static endpoint list, or starts discovery. */
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
                    id,
                    EndpointState.UP,
                    0,
                    1,
                    -1,
                    -1,
                    settings.policySettings().zone());
            endpoints.add(new EndpointList.Entry(endpoint, address));
        }
        return new EndpointList(0, true, endpoints);
    }

    /**
     * Returns whether {@link #reconfigure} supports {@code next}. A pool can't switch between a static list and
     * discovery.
     */
    boolean canReconfigure(PoolSpec next) {
        return (next.discovery() == null) == (discovery == null);
    }

    /** Changes the limits of the pool's budgets. */
    void setLimits(PoolLimits limits) {
        connectionBudget.setMaxOpen(limits.maxConnections());
        memoryBudget.setMaxBytes(limits.maxBodyBytes());
    }

    /**
     * Applies a changed entry of the operator file and changed site settings.
     *
     * @param next an entry for which {@link #canReconfigure} returns true
     */
    void reconfigure(PoolSpec next, BootSettings siteSettings) {
        PoolSpec previous = spec;
        spec = next;
        applySettings(PoolSettings.derive(siteSettings, next));
        if (discovery != null) {
            discovery.moveTo(next.discovery());
        } else if (!previous.sameSource(next)) {
            membership.update(EndpointListKind.SNAPSHOT, staticList());
        }
    }

    private void applySettings(BootSettings next) {
        if (next.equals(settings)) {
            return;
        }
        BootSettings previous = settings;
        settings = next;
        membership.renumber(previous, next);
        dispatcher.reconfigure(next);
        upstreams.reconfigure(next);
        if (discovery != null) {
            discovery.reconfigure(next);
        }
    }

    /**
     * Closes the pool once it has no open request. The pool must get no new requests from here on.
     *
     * @param whenClosed runs on the event loop after the pool is closed
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

    /** Returns the pool's state that a successor starts from. */
    HandoverState handoverState() {
        OperatorDrains drains = membership.drains();
        return new HandoverState(
                drains.drained(), drains.restoredAtMicros(), membership.listed(), dispatcher.learnedState(), settings);
    }

    /** Restores the state that a predecessor had of the pool of the same name. */
    void restore(HandoverState state) {
        // A static list is always this process's own, because the predecessor may have used another operator file.
        EndpointList list = discovery == null ? new EndpointList(-1, true, List.of()) : state.endpoints();
        membership.restoreState(state.drained(), state.restoredAtMicros(), list);
        dispatcher.restore(state.learnedState());
    }

    BootSettings settings() {
        return settings;
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

    PoolMemoryBudget memoryBudget() {
        return memoryBudget;
    }
}
