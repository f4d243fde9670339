package loadbalancer.router;

/** Held by an admitted request until {@link RequestRouter#ended}: its route, its pool and its place in flight. */
public final class RouteLease {
    private final RouteState route; // null if no route matched the request
    private final PoolState pool;
    private final long admittedAtMicros;
    private final int inFlightAtAdmission; // requests in flight at the pool, this one included
    private boolean ended;

    RouteLease(RouteState route, PoolState pool, long admittedAtMicros, int inFlightAtAdmission) {
        this.route = route;
        this.pool = pool;
        this.admittedAtMicros = admittedAtMicros;
        this.inFlightAtAdmission = inFlightAtAdmission;
    }

    /** Returns the name of the pool that serves the request. */
    public String pool() {
        return pool.name();
    }

    /** Returns the name of the request's route; null if no route matched it. */
    public String route() {
        return route == null ? null : route.name();
    }

    /** Returns the route's deadline for the request in microseconds; 0 if the route sets none. */
    public long deadlineMicros() {
        return route == null ? 0 : route.config().deadlineMicros();
    }

    boolean allowsRetry(long nowMicros) {
        return route == null || route.tryWithdrawRetry(nowMicros);
    }

    void end(long nowMicros, LeaseEnd end) {
        if (!ended) {
            ended = true;
            pool.ended(nowMicros, end, nowMicros - admittedAtMicros, inFlightAtAdmission);
        }
    }
}
