package loadbalancer.router;

import java.util.Objects;
import loadbalancer.limits.ConcurrencyLimit;
import loadbalancer.routes.PoolHealth;

/** A pool's requests in flight, concurrency limit and health. */
final class PoolState {
    private static final int NO_LIMIT = -1;

    private PoolConfig config;
    private PoolHealth health;
    private ConcurrencyLimit limit; // null if the pool has none
    private int inFlight;

    PoolState(PoolConfig config) {
        this.config = config;
        this.health = new PoolHealth(config.fullStrength());
        this.limit = config.limit() == null ? null : config.limit().create();
    }

    String name() {
        return config.name();
    }

    /** Applies the configuration of {@code fresh}. Changed parts start with fresh state; requests in flight stay. */
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
     * Admits a request; returns false if the pool is at its limit.
     *
     * @param reservedFraction fraction of the limit that the request must leave to requests of higher priority
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
        int maxInFlight = limit.limit();
        // An idle pool admits a request of any priority, so that a small limit does not starve a class.
        int minAllowed = Math.min(1, maxInFlight);
        return inFlight >= Math.max(minAllowed, (int) Math.ceil(maxInFlight * (1 - reservedFraction)));
    }

    int inFlight() {
        return inFlight;
    }

    /**
     * Records the end of an admitted request.
     *
     * @param inFlightAtAdmission requests in flight when it was admitted, itself included
     */
    void ended(long nowMicros, LeaseEnd end, long latencyMicros, int inFlightAtAdmission) {
        inFlight--;
        if (end == LeaseEnd.CLIENT_GONE) {
            return; // a client that disconnects says nothing about the pool
        }
        boolean served = end == LeaseEnd.SERVED;
        health.ended(nowMicros, served);
        // A request that was never sent says nothing about latency or capacity: the policy shed it by its own
        // criteria. If the limit reacted to that, limit and policy would answer each other's shedding with more
        // shedding and starve the pool.
        if (limit != null && end != LeaseEnd.NOT_SENT) {
            limit.ended(nowMicros, latencyMicros, !served, inFlightAtAdmission);
        }
    }

    PoolStatus status() {
        return new PoolStatus(config.name(), inFlight, limit == null ? NO_LIMIT : limit.limit(), health.endpointsUp());
    }
}
