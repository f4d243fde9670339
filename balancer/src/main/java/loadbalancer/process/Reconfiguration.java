package loadbalancer.process;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.Membership;
import loadbalancer.dispatch.RequestDispatcher;
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
import loadbalancer.upstream.UpstreamConnectionPool;

/**
 * Holds the configuration in force, and puts a replaced configuration or operator file into force while the process
 * runs. What cannot be used changes nothing.
 *
 * <p>{@link #reload} and {@link #applyOperatorFile} read files, and may be called on any thread but the event loop's.
 */
final class Reconfiguration {
    /** The parts of a process that go by its configuration; all of them belong to the event loop's thread. */
    record Parts(
            EventLoop loop,
            BiFunction<PolicySettings, Long, LoadBalancingPolicy> policies,
            DescriptorBudget descriptors,
            RequestDispatcher dispatcher,
            UpstreamConnectionPool upstreams,
            ClientListener clients,
            Membership membership,
            DiscoveryClient discovery,
            BalancerPools pools) {}

    private final Parts parts;
    private final Log log;
    private volatile BalancerConfig config;

    /** Begins with the configuration of the start, which is in force already. */
    Reconfiguration(BalancerConfig config, Parts parts, Log log) {
        this.config = config;
        this.parts = parts;
        this.log = log;
    }

    /** Returns the configuration in force; on any thread. */
    BalancerConfig config() {
        return config;
    }

    /** Returns the settings in force; on any thread. */
    BootSettings settings() {
        return config.boot();
    }

    /**
     * Puts a replaced configuration's settings and discovery into force. All else in it waits for a restart.
     *
     * @param read reads the configuration
     */
    synchronized void reload(Supplier<BalancerConfig> read) {
        BalancerConfig next;
        try {
            next = read.get();
            String missing = next.missingKey(config);
            if (missing != null) {
                throw new ProcessConfigException("settings: " + missing + ": was there before and is missing");
            }
        } catch (ProcessConfigException e) {
            log.warn("configuration rejected: " + e.getMessage(), "config", "kept");
            return;
        }
        BootSettings before = config.boot();
        config = next;
        log.info(describe(next, before));
        parts.loop.execute(() -> apply(next, before));
    }

    private static String describe(BalancerConfig next, BootSettings before) {
        String line = "configuration reloaded: discovery at "
                + next.discovery().getAddress().getHostAddress() + ":"
                + next.discovery().getPort();
        return next.boot().equals(before)
                ? line
                : line + "; new settings, classes "
                        + String.join(", ", next.boot().classes());
    }

    private void apply(BalancerConfig next, BootSettings before) {
        BootSettings settings = next.boot();
        if (!settings.equals(before)) {
            parts.membership.renumber(before, settings);
            parts.dispatcher.reconfigure(settings);
            parts.upstreams.reconfigure(settings);
            parts.clients.reconfigure(settings);
            parts.pools.reconfigure(settings);
            parts.discovery.reconfigure(settings);
        }
        parts.discovery.moveTo(next.discovery());
    }

    /**
     * Puts an operator file into force, and returns when it is, or keeps the one before where it cannot be used.
     *
     * @param configuresLog whether the process's own log goes by the file as well
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
        parts.loop.submit(() -> apply(next)).syncUninterruptibly();
        return true;
    }

    private void apply(OperatorConfig next) {
        if (parts.pools.gateway() == null) {
            RoutingGateway gateway = createGateway();
            parts.pools.attach(gateway);
            parts.clients.setRequestHandler(gateway);
        }
        parts.pools.gateway().configure(next);
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
                parts.loop,
                parts.policies,
                config.seed(),
                config.maxEndpoints(),
                parts.descriptors,
                parts.clients::closeLeastNeeded,
                log);
        return new RoutingGateway(
                new SitePool(parts.dispatcher, parts.membership),
                environment,
                config.boot(),
                parts.descriptors.maxUpstreamConnections(),
                ClientListener.MAX_BODY_MEMORY_BYTES);
    }
}
