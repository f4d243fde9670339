package loadbalancer.net;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.Holding;
import loadbalancer.discovery.Membership;
import loadbalancer.discovery.PartialListRetry;
import loadbalancer.discovery.Targets;
import loadbalancer.drain.TakenOut;
import loadbalancer.logs.Log;
import loadbalancer.operator.PoolSpec;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.Policy;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.SiteLimits;
import loadbalancer.settings.SettingsReader;

/** One pool beside the platform's: a module of its own with its list, its connections and its budgets. */
final class Pool {
    /** What all pools of a process share. */
    record Ground(
            EventLoop loop,
            BiFunction<PolicySettings, Long, Policy> module,
            long seed,
            int upstreams,
            Budget connections,
            BooleanSupplier shedClients,
            Log log) {}

    private final Ground ground;
    private final Dispatcher dispatcher;
    private final Upstreams upstreams;
    private final Membership membership;
    private final DiscoveryClient discovery;
    private final PoolBudget budget;
    private PoolSpec spec;
    private SettingsReader.Boot boot;

    Pool(Ground ground, PoolSpec spec, SettingsReader.Boot site, PoolBudget budget) {
        this.ground = ground;
        this.spec = spec;
        this.budget = budget;
        boot = boot(site, spec);
        Log log = line -> ground.log.accept("pool " + spec.name() + ": " + line);
        long seed = ground.seed ^ loadbalancer.routes.Split.hash(spec.name());
        dispatcher = new Dispatcher(ground.loop, boot, ground.module.apply(boot.settings(), seed), log);
        upstreams = new Upstreams(ground.loop, boot, budget, dispatcher::now);
        upstreams.shedBy(() -> upstreams.shedIdle() || ground.shedClients.getAsBoolean());
        Holding holding = new Holding(ground.upstreams, boot.settings().rank());
        membership = new Membership(holding, new TakenOut(), dispatcher::now, dispatcher::listed);
        holding.onChange(dispatcher::holdsPart);
        discovery = spec.discovery() == null
                ? null
                : new DiscoveryClient(
                        ground.loop,
                        spec.discovery(),
                        boot,
                        holding,
                        0,
                        dispatcher::now,
                        membership::listed,
                        log::accept);
        if (discovery != null) {
            new PartialListRetry(ground.loop, membership, discovery, seed);
        }
        dispatcher.attach(upstreams, discovery);
    }

    /** Begins to learn its list; on the loop's thread. */
    void start() {
        membership.listed(EndpointListKind.PERSISTED, discovery == null ? fixed() : new Targets(0, true, List.of()));
        if (discovery == null) {
            membership.listed(EndpointListKind.COMPLETE, fixed());
        } else {
            discovery.start();
        }
    }

    private Targets fixed() {
        List<Targets.Target> list = new ArrayList<>();
        for (InetSocketAddress a : spec.upstreams()) {
            String id = spec.name() + "/" + a.getAddress().getHostAddress() + ":" + a.getPort();
            list.add(new Targets.Target(
                    new Endpoint(
                            id, EndpointState.UP, 0, 1, -1, -1, boot.settings().zone()),
                    a));
        }
        return new Targets(0, true, list);
    }

    // The platform's settings with what the pool's own say; a list in the file is never asked for.
    private static SettingsReader.Boot boot(SettingsReader.Boot site, PoolSpec spec) {
        PolicySettings s = site.settings();
        SiteLimits l = s.limits();
        PoolSpec.Overrides o = spec.settings();
        SiteLimits limits = new SiteLimits(
                o.maxAttempts() == null ? l.maxAttempts() : o.maxAttempts(),
                l.mayDuplicate(),
                l.mayCancel(),
                o.probes() == null ? l.mayProbe() : o.probes(),
                o.connectTimeout() == null ? l.connectTimeout() : o.connectTimeout(),
                l.retryAfterMax());
        PolicySettings own = new PolicySettings(
                s.balancers(),
                s.rank(),
                s.zone(),
                s.classes(),
                s.tenants(),
                s.overShareWorth(),
                s.goal(),
                s.prices(),
                s.worthByWork(),
                spec.discovery() == null ? DiscoveryMode.PUSH : s.discovery(),
                s.reports(),
                s.warmKeys(),
                limits,
                s.bounds(),
                s.tick());
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
    boolean becomes(PoolSpec next) {
        return (next.discovery() == null) == (discovery == null);
    }

    /** Goes on under another spec, and other settings of the site. */
    void become(PoolSpec next, SettingsReader.Boot site) {
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
            membership.listed(EndpointListKind.COMPLETE, fixed());
        }
    }

    /** Takes nothing more; it ends when all it has taken has been answered. */
    void drain(Runnable then) {
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
    Map<String, Object> state() {
        TakenOut out = membership.takenOut();
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
                dispatcher.learnt());
    }

    /** Goes on from what another process of this balancer knows of the pool of that name. */
    void inherit(Inheritance of) {
        // A list in the file is this process's own: the other may have had another file.
        membership.inherit(of.out(), of.back(), discovery == null ? new Targets(-1, true, List.of()) : of.list());
        dispatcher.resume(of.learnt());
    }

    SettingsReader.Boot boot() {
        return boot;
    }

    String name() {
        return spec.name();
    }

    PoolSpec spec() {
        return spec;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    Membership membership() {
        return membership;
    }

    PoolBudget budget() {
        return budget;
    }
}
