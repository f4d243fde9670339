package loadbalancer.router;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.routes.Overflow;
import loadbalancer.routes.TrafficSplit;

/** State of one destination of a route: its pool, its spill targets, and the share of the traffic that each gets. */
final class DestinationState {
    private static final long SHARES_UPDATE_INTERVAL_MICROS = 50_000;
    private static final int DISCARDED_BITS = 11; // a double represents the remaining 53 bits exactly
    private static final double POSITION_SCALE = 0x1.0p-53;

    private final List<PoolState> pools = new ArrayList<>();
    private final Overflow overflow;
    private final double overprovisioningFactor;
    private double[] shares; // null until first computed
    private long sharesAtMicros = Long.MIN_VALUE;

    DestinationState(RouteConfig route, Destination destination, Map<String, PoolState> poolsByName) {
        List<SpillTarget> targets = destination.spillTargets();
        double[] maxShares = new double[1 + targets.size()];
        maxShares[0] = 1;
        pools.add(poolsByName.get(destination.pool()));
        for (int i = 0; i < targets.size(); i++) {
            maxShares[1 + i] = targets.get(i).maxShare();
            pools.add(poolsByName.get(targets.get(i).pool()));
        }
        overprovisioningFactor = route.overprovisioningFactor();
        overflow = new Overflow(overprovisioningFactor, route.returnPerSecond(), maxShares);
    }

    /** Returns the pool for a key, or null if no pool can take it. */
    PoolState choose(long nowMicros, long key) {
        if (pools.size() == 1) {
            return pools.get(0);
        }
        updateShares(nowMicros);
        // The position depends on the key and is not random, so the same keys always spill first and others stay.
        double position = (TrafficSplit.hash(Long.toString(key)) >>> DISCARDED_BITS) * POSITION_SCALE;
        for (int i = 0; i < shares.length; i++) {
            position -= shares[i];
            if (position < 0) {
                return pools.get(i);
            }
        }
        return null;
    }

    private void updateShares(long nowMicros) {
        if (shares != null && nowMicros - sharesAtMicros < SHARES_UPDATE_INTERVAL_MICROS) {
            return;
        }
        double[] healthyFractions = new double[pools.size()];
        for (int i = 0; i < healthyFractions.length; i++) {
            healthyFractions[i] = pools.get(i).healthyFraction(nowMicros, share(i), overprovisioningFactor);
        }
        shares = overflow.shares(nowMicros, healthyFractions);
        sharesAtMicros = nowMicros;
    }

    private double share(int pool) {
        if (shares != null) {
            return shares[pool];
        }
        return pool == 0 ? 1 : 0;
    }

    /** Returns the shares of its pools as last computed; empty if they have not been computed yet. */
    double[] shares() {
        return shares == null ? new double[0] : shares.clone();
    }

    void replacePool(PoolState replaced, PoolState kept) {
        pools.replaceAll(pool -> pool == replaced ? kept : pool);
    }

    /** Takes over the shares of a former destination if that has the same pools in the same order. */
    void restore(DestinationState former) {
        if (poolNames().equals(former.poolNames())) {
            overflow.restore(former.overflow);
        }
    }

    private List<String> poolNames() {
        return pools.stream().map(PoolState::name).toList();
    }
}
