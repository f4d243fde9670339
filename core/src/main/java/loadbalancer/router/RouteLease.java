package loadbalancer.router;

/** What an admitted request holds until {@link RequestRouter#ended}. */
public final class RouteLease {
    private final RouteState route; // null where no route took the request
    private final PoolState pool;
    private final long admittedAtMicros;
    private final int inFlight; // at the pool when it was admitted, itself included
    private boolean ended;

    RouteLease(RouteState route, PoolState pool, long admittedAtMicros, int inFlight) {
        this.route = route;
        this.pool = pool;
        this.admittedAtMicros = admittedAtMicros;
        this.inFlight = inFlight;
    }

    /** Name of the pool that has the request. */
    public String pool() {
        return pool.name();
    }

    /** Name of the route that it came by; null where none took it. */
    public String route() {
        return route == null ? null : route.name();
    }

    /** The longest that it may take, in microseconds; 0: as its client says. */
    public long deadlineMicros() {
        return route == null ? 0 : route.config().deadlineMicros();
    }

    boolean allowsRetry(long nowMicros) {
        return route == null || route.tryWithdrawRetry(nowMicros);
    }

    void end(long nowMicros, LeaseEnd end) {
        if (!ended) {
            ended = true;
            pool.ended(nowMicros, end, nowMicros - admittedAtMicros, inFlight);
        }
    }
}
