package loadbalancer.router;

/**
 * A pool as it stands.
 *
 * @param inFlight requests that it has been given and that have not ended
 * @param limit of the requests in flight; -1 where there is none
 * @param endpointsUp endpoints that requests may be sent to
 */
public record PoolStatus(String name, int inFlight, int limit, int endpointsUp) {}
