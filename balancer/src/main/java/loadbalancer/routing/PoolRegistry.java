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
 * Holds the pools of the operator file, without the site's own, by name. Also holds the pools that a newer operator
 * file has removed and that still have open requests. Belongs to the event loop's thread.
 */
final class PoolRegistry {
    private final PoolEnvironment environment;
    private final Map<String, UpstreamPool> pools = new LinkedHashMap<>();
    private final Set<UpstreamPool> draining = new LinkedHashSet<>();
    private double slowStartFraction = 1;

    PoolRegistry(PoolEnvironment environment) {
        this.environment = environment;
    }

    /**
     * Adds a pool, or reconfigures the one of the same name. A pool that cannot be reconfigured in place is drained and
     * replaced.
     */
    void put(PoolSpec spec, BootSettings siteSettings, PoolLimits limits) {
        UpstreamPool pool = pools.get(spec.name());
        if (pool != null && pool.canReconfigure(spec)) {
            pool.setLimits(limits);
            pool.reconfigure(spec, siteSettings);
            return;
        }
        if (pool != null) {
            drain(pool);
        }
        UpstreamPool newPool = new UpstreamPool(environment, spec, siteSettings, limits);
        pools.put(spec.name(), newPool);
        newPool.start();
        newPool.dispatcher().setSlowStartFraction(slowStartFraction);
    }

    /** Drains every pool whose name is not in {@code names}. */
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

    /** Applies new site settings to all pools. */
    void reconfigure(BootSettings siteSettings) {
        pools.values().forEach(pool -> pool.reconfigure(pool.spec(), siteSettings));
    }

    /** Sets the fraction of the balancer's slow-start traffic that this process may send, for each pool. */
    void setSlowStartFraction(double fraction) {
        slowStartFraction = fraction;
        pools.values().forEach(pool -> pool.dispatcher().setSlowStartFraction(fraction));
    }

    /** Returns the pool of that name; null if there is none or if it is draining. */
    UpstreamPool get(String name) {
        return pools.get(name);
    }

    /** Returns all pools that accept requests, in the order in which they were added. */
    Collection<UpstreamPool> pools() {
        return Collections.unmodifiableCollection(pools.values());
    }

    /** Returns the number of removed pools that still have open requests. */
    int drainingCount() {
        return draining.size();
    }

    /** Returns whether a pool, draining or not, has an open request with that id of its client's. */
    boolean isOpen(String requestId) {
        return isOpenInAny(pools.values(), requestId) || isOpenInAny(draining, requestId);
    }

    private static boolean isOpenInAny(Collection<UpstreamPool> pools, String requestId) {
        for (UpstreamPool pool : pools) {
            if (pool.dispatcher().isOpen(requestId)) {
                return true;
            }
        }
        return false;
    }

    /** Applies {@code change} to all pools that accept requests; returns whether it returned true for any of them. */
    boolean applyToAll(Predicate<UpstreamPool> change) {
        boolean anyApplied = false;
        for (UpstreamPool pool : pools.values()) {
            anyApplied |= change.test(pool);
        }
        return anyApplied;
    }

    /** Runs {@code listener} on the event loop once no pool, draining or not, has an open request. */
    void whenIdle(Runnable listener) {
        List<RequestDispatcher> dispatchers = dispatchers();
        if (dispatchers.isEmpty()) {
            listener.run();
        }
        int[] busyDispatchers = {dispatchers.size()};
        for (RequestDispatcher dispatcher : dispatchers) {
            dispatcher.whenIdle(() -> {
                if (--busyDispatchers[0] == 0) {
                    listener.run();
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
