package loadbalancer.router;

/**
 * Current state of a pool.
 *
 * @param inFlight requests that the pool has admitted and that have not ended
 * @param limit concurrency limit; -1 if there is none
 * @param endpointsUp endpoints that requests may be sent to
 */
public record PoolStatus(String name, int inFlight, int limit, int endpointsUp) {}
