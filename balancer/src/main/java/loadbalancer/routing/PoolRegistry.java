package loadbalancer.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import loadbalancer.dispatch.RequestDispatcher;
import loadbalancer.operator.PoolSpec;
import loadbalancer.settings.BootSettings;

/**
 * The pools beside the site's own, by name, and those that an operator file has removed and that still owe answers.
 * Event loop only.
 */
final class PoolRegistry {
    private final PoolEnvironment environment;
    private final Map<String, UpstreamPool> pools = new LinkedHashMap<>();
    private final Set<UpstreamPool> draining = new LinkedHashSet<>();
    private double slowStartFraction = 1;

    PoolRegistry(PoolEnvironment environment) {
        this.environment = environment;
    }

    /** Adds the pool, or changes the one of that name; one that can't change in place is drained and replaced. */
    void put(PoolSpec spec, BootSettings site, PoolLimits limits) {
        UpstreamPool pool = pools.get(spec.name());
        if (pool != null && pool.canBecome(spec)) {
            pool.setLimits(limits);
            pool.reconfigure(spec, site);
            return;
        }
        if (pool != null) {
            drain(pool);
        }
        UpstreamPool created = new UpstreamPool(environment, spec, site, limits);
        pools.put(spec.name(), created);
        created.start();
        created.dispatcher().setSlowStartFraction(slowStartFraction);
    }

    /** Drains every pool whose name is not among these. */
    void retain(Set<String> names) {
        for (UpstreamPool pool : List.copyOf(pools.values())) {
            if (!names.contains(pool.name())) {
                drain(pool);
            }
        }
    }

    private void drain(UpstreamPool pool) {
        pools.remove(pool.name());
        draining.add(pool);
        pool.drain(() -> {
            draining.remove(pool);
            environment
                    .log()
                    .info(
                            "pool " + pool.name() + " has drained and is closed: "
                                    + pool.dispatcher().summary(),
                            "pool",
                            pool.name(),
                            "drained",
                            true);
        });
    }

    /** The site's settings have changed: all pools follow. */
    void reconfigure(BootSettings site) {
        pools.values().forEach(pool -> pool.reconfigure(pool.spec(), site));
    }

    /** Sets the fraction of the balancer's slow-start traffic that this process may send, in each pool. */
    void setSlowStartFraction(double fraction) {
        slowStartFraction = fraction;
        pools.values().forEach(pool -> pool.dispatcher().setSlowStartFraction(fraction));
    }

    /** The pool of that name; null where there is none, or where it drains. */
    UpstreamPool get(String name) {
        return pools.get(name);
    }

    /** All pools that take requests, in the order in which they were added. */
    Collection<UpstreamPool> pools() {
        return Collections.unmodifiableCollection(pools.values());
    }

    /** How many pools take no new requests and still owe answers. */
    int drainingCount() {
        return draining.size();
    }

    /** Whether a pool, draining or not, has an open request of that client's id. */
    boolean holds(String id) {
        return anyHolds(pools.values(), id) || anyHolds(draining, id);
    }

    private static boolean anyHolds(Collection<UpstreamPool> pools, String id) {
        for (UpstreamPool pool : pools) {
            if (pool.dispatcher().isOpen(id)) {
                return true;
            }
        }
        return false;
    }

    /** Applies a change to all pools that take requests; whether any of them knew what it concerns. */
    boolean anyKnows(Predicate<UpstreamPool> change) {
        boolean known = false;
        for (UpstreamPool pool : pools.values()) {
            known |= change.test(pool);
        }
        return known;
    }

    /** Runs {@code then} on the event loop once no pool, draining or not, owes an answer. */
    void whenIdle(Runnable then) {
        List<RequestDispatcher> dispatchers = dispatchers();
        if (dispatchers.isEmpty()) {
            then.run();
        }
        int[] busy = {dispatchers.size()};
        for (RequestDispatcher dispatcher : dispatchers) {
            dispatcher.whenIdle(() -> {
                if (--busy[0] == 0) {
                    then.run();
                }
            });
        }
    }

    private List<RequestDispatcher> dispatchers() {
        List<RequestDispatcher> dispatchers = new ArrayList<>();
        pools.values().forEach(pool -> dispatchers.add(pool.dispatcher()));
        draining.forEach(pool -> dispatchers.add(pool.dispatcher()));
        return dispatchers;
    }
}
