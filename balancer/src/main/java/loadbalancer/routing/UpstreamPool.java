package loadbalancer.routing;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointSubset;
import loadbalancer.discovery.Membership;
import loadbalancer.discovery.PartialListRetry;
import loadbalancer.dispatch.RequestDispatcher;
import loadbalancer.drain.OperatorDrains;
import loadbalancer.logs.Log;
import loadbalancer.operator.PoolSpec;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.SiteLimits;
import loadbalancer.process.HandoverState;
import loadbalancer.settings.SettingsReader;
import loadbalancer.upstream.ConnectionBudget;
import loadbalancer.upstream.UpstreamConnectionPool;

/** One pool beside the platform's: a module of its own with its list, its connections and its budgets. */
public final class UpstreamPool {
    /** What all pools of a process share. */
    public record Ground(
            EventLoop loop,
            BiFunction<PolicySettings, Long, LoadBalancingPolicy> module,
            long seed,
            int upstreams,
            ConnectionBudget connections,
            BooleanSupplier shedClients,
            Log log) {}

    private final Ground ground;
    private final RequestDispatcher dispatcher;
    private final UpstreamConnectionPool upstreams;
    private final Membership membership;
    private final DiscoveryClient discovery;
    private final PoolConnectionBudget budget;
    private PoolSpec spec;
    private SettingsReader.Boot boot;

    public UpstreamPool(Ground ground, PoolSpec spec, SettingsReader.Boot site, PoolConnectionBudget budget) {
        this.ground = ground;
        this.spec = spec;
        this.budget = budget;
        boot = boot(site, spec);
        Log log = line -> ground.log.accept("pool " + spec.name() + ": " + line);
        long seed = ground.seed ^ loadbalancer.routes.Split.hash(spec.name());
        dispatcher = new RequestDispatcher(ground.loop, boot, ground.module.apply(boot.settings(), seed), log);
        upstreams = new UpstreamConnectionPool(ground.loop, boot, budget, dispatcher::nowMicros);
        upstreams.setReclaimer(() -> upstreams.closeLongestIdle() || ground.shedClients.getAsBoolean());
        EndpointSubset holding =
                new EndpointSubset(ground.upstreams, boot.settings().rank());
        membership = new Membership(holding, new OperatorDrains(), dispatcher::nowMicros, dispatcher::updateEndpoints);
        holding.onChange(dispatcher::updateSubset);
        discovery = spec.discovery() == null
                ? null
                : new DiscoveryClient(
                        ground.loop,
                        spec.discovery(),
                        boot,
                        holding,
                        0,
                        dispatcher::nowMicros,
                        membership::listed,
                        log::accept);
        if (discovery != null) {
            new PartialListRetry(ground.loop, membership, discovery, seed);
        }
        dispatcher.attach(upstreams, discovery);
    }

    /** Begins to learn its list; on the loop's thread. */
    public void start() {
        membership.listed(EndpointListKind.CACHED, discovery == null ? fixed() : new EndpointList(0, true, List.of()));
        if (discovery == null) {
            membership.listed(EndpointListKind.SNAPSHOT, fixed());
        } else {
            discovery.start();
        }
    }

    private EndpointList fixed() {
        List<EndpointList.Target> list = new ArrayList<>();
        for (InetSocketAddress a : spec.upstreams()) {
            String id = spec.name() + "/" + a.getAddress().getHostAddress() + ":" + a.getPort();
            list.add(new EndpointList.Target(
                    new Endpoint(
                            id, EndpointState.UP, 0, 1, -1, -1, boot.settings().zone()),
                    a));
        }
        return new EndpointList(0, true, list);
    }

    // The platform's settings with what the pool's own say; a list in the file is never asked for.
    private static SettingsReader.Boot boot(SettingsReader.Boot site, PoolSpec spec) {
        PolicySettings s = site.settings();
        SiteLimits l = s.limits();
        PoolSpec.Overrides o = spec.settings();
        SiteLimits limits = new SiteLimits(
                o.maxAttempts() == null ? l.maxAttempts() : o.maxAttempts(),
                l.hedgingAllowed(),
                l.cancellationAllowed(),
                o.probes() == null ? l.probingAllowed() : o.probes(),
                o.connectTimeoutMicros() == null ? l.connectTimeoutMicros() : o.connectTimeoutMicros(),
                l.maxRetryAfterMicros());
        PolicySettings own = new PolicySettings(
                s.balancers(),
                s.rank(),
                s.zone(),
                s.classes(),
                s.tenants(),
                s.overQuotaWeight(),
                s.goal(),
                s.prices(),
                s.weightByWork(),
                spec.discovery() == null ? DiscoveryMode.PUSH : s.discovery(),
                s.reports(),
                s.keyAffinity(),
                limits,
                s.bounds(),
                s.tickMicros());
        return new SettingsReader.Boot(
                own,
                site.loadFields(),
                site.classes(),
                site.tenants(),
                site.zones(),
                site.kinds(),
                o.idleClose() == null ? site.idleClose() : o.idleClose());
    }

    /** Whether it can go on under that spec: a pool whose list came from elsewhere in another way can't. */
    public boolean becomes(PoolSpec next) {
        return (next.discovery() == null) == (discovery == null);
    }

    /** Goes on under another spec, and other settings of the site. */
    public void become(PoolSpec next, SettingsReader.Boot site) {
        PoolSpec before = spec;
        spec = next;
        SettingsReader.Boot fresh = boot(site, next);
        if (!fresh.equals(boot)) {
            SettingsReader.Boot former = boot;
            boot = fresh;
            membership.renumber(former, fresh);
            dispatcher.reconfigure(fresh);
            upstreams.reconfigure(fresh);
            if (discovery != null) {
                discovery.reconfigure(fresh);
            }
        }
        if (discovery != null) {
            discovery.moveTo(next.discovery());
        } else if (!before.sameSource(next)) {
            membership.listed(EndpointListKind.SNAPSHOT, fixed());
        }
    }

    /** Takes nothing more; it ends when all it has taken has been answered. */
    public void drain(Runnable then) {
        dispatcher.whenIdle(() -> {
            dispatcher.retire();
            if (discovery != null) {
                discovery.watch(false);
            }
            upstreams.close();
            then.run();
        });
    }

    /** What a process that goes on in this one's place has to know. */
    public Map<String, Object> state() {
        OperatorDrains out = membership.takenOut();
        return Map.of(
                "out",
                List.copyOf(out.out()),
                "back",
                out.back(),
                "list",
                membership.told().toJson(boot),
                "classes",
                boot.classes(),
                "learnt",
                dispatcher.learnedState());
    }

    /** Goes on from what another process of this balancer knows of the pool of that name. */
    public void inherit(HandoverState of) {
        // A list in the file is this process's own: the other may have had another file.
        membership.inherit(of.out(), of.back(), discovery == null ? new EndpointList(-1, true, List.of()) : of.list());
        dispatcher.restore(of.learnedState());
    }

    public SettingsReader.Boot boot() {
        return boot;
    }

    public String name() {
        return spec.name();
    }

    public PoolSpec spec() {
        return spec;
    }

    public RequestDispatcher dispatcher() {
        return dispatcher;
    }

    public Membership membership() {
        return membership;
    }

    public PoolConnectionBudget budget() {
        return budget;
    }
}
