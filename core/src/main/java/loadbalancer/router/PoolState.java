package loadbalancer.router;

import java.util.Objects;
import loadbalancer.limits.ConcurrencyLimit;
import loadbalancer.routes.PoolHealth;

/** A pool's requests in flight, its limit and its health. */
final class PoolState {
    private static final int NO_LIMIT = -1;

    private PoolConfig config;
    private PoolHealth health;
    private ConcurrencyLimit limit; // null where there is none
    private int inFlight;

    PoolState(PoolConfig config) {
        this.config = config;
        this.health = new PoolHealth(config.fullStrength());
        this.limit = config.limit() == null ? null : config.limit().create();
    }

    String name() {
        return config.name();
    }

    /** Goes by the configuration of {@code fresh}: what has changed begins anew, requests in flight stay. */
    void reconfigure(PoolState fresh) {
        if (config.fullStrength() != fresh.config.fullStrength()) {
            fresh.health.setEndpointsUp(0, health.endpointsUp());
            health = fresh.health;
        }
        if (!Objects.equals(config.limit(), fresh.config.limit())) {
            limit = fresh.limit;
        }
        config = fresh.config;
    }

    void setEndpointsUp(long nowMicros, int endpoints) {
        health.setEndpointsUp(nowMicros, endpoints);
    }

    double healthyFraction(long nowMicros, double share, double overprovisioningFactor) {
        return health.healthyFraction(nowMicros, share, overprovisioningFactor);
    }

    /**
     * Admits a request; false where the pool is at its limit.
     *
     * @param reservedFraction of the limit that the request must leave to those of higher priority
     */
    boolean tryAdmit(long nowMicros, double reservedFraction) {
        if (isFull(reservedFraction)) {
            health.ended(nowMicros, false);
            return false;
        }
        inFlight++;
        return true;
    }

    private boolean isFull(double reservedFraction) {
        if (limit == null) {
            return false;
        }
        int max = limit.limit();
        // A request of any priority is admitted at an idle pool, so that a small limit starves no class.
        int atLeast = Math.min(1, max);
        return inFlight >= Math.max(atLeast, (int) Math.ceil(max * (1 - reservedFraction)));
    }

    int inFlight() {
        return inFlight;
    }

    /**
     * A request that was admitted has ended.
     *
     * @param inFlightThen requests in flight when it was admitted, itself included
     */
    void ended(long nowMicros, LeaseEnd end, long latencyMicros, int inFlightThen) {
        inFlight--;
        if (end == LeaseEnd.CLIENT_GONE) {
            return; // says nothing of the pool
        }
        boolean served = end == LeaseEnd.SERVED;
        health.ended(nowMicros, served);
        // A request that was never sent says nothing of latency or capacity: the policy has shed it by its own
        // measure, and if each of the two answered the other's shedding with more, they would starve the pool.
        if (limit != null && end != LeaseEnd.NOT_SENT) {
            limit.ended(nowMicros, latencyMicros, !served, inFlightThen);
        }
    }

    PoolStatus status() {
        return new PoolStatus(config.name(), inFlight, limit == null ? NO_LIMIT : limit.limit(), health.endpointsUp());
    }
}
