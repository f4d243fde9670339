package loadbalancer.process;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.Membership;
import loadbalancer.dispatch.RequestDispatcher;
import loadbalancer.dispatch.UnansweredIds;
import loadbalancer.http.ClientListener;
import loadbalancer.logs.Log;
import loadbalancer.logs.Slf4jProvider;
import loadbalancer.operator.OperatorConfig;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicySettings;
import loadbalancer.routing.PoolEnvironment;
import loadbalancer.routing.RoutingGateway;
import loadbalancer.routing.SitePool;
import loadbalancer.settings.BootSettings;
import loadbalancer.transport.MemoryBudgets;
import loadbalancer.upstream.UpstreamConnectionPool;

/**
 * Holds the configuration in force, and applies a replaced configuration or operator file while the process runs. An
 * invalid file changes nothing.
 *
 * <p>{@link #reload} and {@link #applyOperatorFile} read files, so they may be called on any thread but the event
 * loop's.
 */
final class Reconfiguration {
    /** The components that the configuration applies to. All of them are confined to the event loop's thread. */
    record Components(
            EventLoop loop,
            BiFunction<PolicySettings, Long, LoadBalancingPolicy> policies,
            DescriptorBudget descriptors,
            MemoryBudgets memory,
            RequestDispatcher dispatcher,
            UnansweredIds unansweredIds,
            UpstreamConnectionPool upstreams,
            ClientListener clients,
            Membership membership,
            DiscoveryClient discovery,
            BalancerPools pools) {}

    private final Components components;
    private final Log log;
    private volatile BalancerConfig config;

    /** Starts from the configuration that the process was started with, which is already in force. */
    Reconfiguration(BalancerConfig config, Components components, Log log) {
        this.config = config;
        this.components = components;
        this.log = log;
    }

    /** Returns the configuration in force. May be called on any thread. */
    BalancerConfig config() {
        return config;
    }

    /** Returns the settings in force. May be called on any thread. */
    BootSettings settings() {
        return config.boot();
    }

    /**
     * Applies the settings and the discovery address of a replaced configuration. Its other fields apply only after a
     * restart.
     *
     * @param reader reads the configuration
     */
    synchronized void reload(Supplier<BalancerConfig> reader) {
        BalancerConfig next;
        try {
            next = reader.get();
            String missing = next.missingKey(config);
            if (missing != null) {
                throw new ProcessConfigException(
                        "settings: " + missing + ": missing, but set in the configuration in force");
            }
        } catch (ProcessConfigException e) {
            log.warn("configuration rejected: " + e.getMessage(), "config", "kept");
            return;
        }
        BootSettings previous = config.boot();
        config = next;
        log.info(describe(next, previous));
        components.loop.execute(() -> apply(next, previous));
    }

    private static String describe(BalancerConfig next, BootSettings previous) {
        String line = "configuration reloaded: discovery at "
                + next.discovery().getAddress().getHostAddress() + ":"
                + next.discovery().getPort();
        return next.boot().equals(previous)
                ? line
                : line + "; new settings, classes "
                        + String.join(", ", next.boot().classes());
    }

    private void apply(BalancerConfig next, BootSettings previous) {
        BootSettings settings = next.boot();
        if (!settings.equals(previous)) {
            components.membership.renumber(previous, settings);
            components.dispatcher.reconfigure(settings);
            components.upstreams.reconfigure(settings);
            components.clients.reconfigure(settings);
            components.pools.reconfigure(settings);
            components.discovery.reconfigure(settings);
        }
        components.discovery.moveTo(next.discovery());
    }

    /**
     * Applies an operator file, and returns once it is in force. An invalid file leaves the previous one in force.
     *
     * @param configuresLog whether the file also configures the log of the process
     * @return whether the file is in force
     */
    synchronized boolean applyOperatorFile(Path file, boolean configuresLog) {
        OperatorConfig next;
        try {
            next = OperatorFileLoader.read(file, config.boot());
        } catch (ProcessConfigException e) {
            log.warn(e.getMessage(), "operator_file", "rejected");
            return false;
        }
        next.notes().forEach(log::info);
        if (configuresLog) {
            Slf4jProvider.writer().configure(next.log().json(), next.log().queueLines());
        }
        components.loop.submit(() -> apply(next)).syncUninterruptibly();
        return true;
    }

    private void apply(OperatorConfig next) {
        if (components.pools.gateway() == null) {
            RoutingGateway gateway = createGateway();
            components.pools.attach(gateway);
            components.clients.setRequestHandler(gateway);
        }
        components.pools.gateway().configure(next);
        int pools = next.pools().size();
        int routes = next.routing().routes().size();
        log.info(
                "operator file applied: " + pools + " pools, " + routes + " routes",
                "operator_file",
                "applied",
                "pools",
                pools,
                "routes",
                routes);
    }

    private RoutingGateway createGateway() {
        PoolEnvironment environment = new PoolEnvironment(
                components.loop,
                components.policies,
                config.seed(),
                config.maxEndpoints(),
                components.descriptors,
                components.memory.responses(),
                components.clients::closeLeastNeeded,
                components.unansweredIds,
                log);
        return new RoutingGateway(
                new SitePool(components.dispatcher, components.membership),
                environment,
                config.boot(),
                components.descriptors.maxUpstreamConnections(),
                MemoryBudgets.REQUEST_BODY_BYTES);
    }
}
