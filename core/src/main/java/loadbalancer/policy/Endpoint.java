package loadbalancer.policy;

/**
 * One entry of the endpoint list.
 *
 * @param id opaque and unique
 * @param startedAt time at which the endpoint last started, in µs of the balancer's clock; 0 if it started long ago
 * @param weight capacity in any unit; it is only compared with the capacity of other endpoints
 * @param cell index of its cell (the endpoints that share idempotency keys), or -1
 * @param machineKind index of its kind of machine, or -1
 * @param zone index of its zone, or -1
 */
public record Endpoint(
        String id, EndpointState state, long startedAt, double weight, int cell, int machineKind, int zone) {
    /** Returns the same endpoint in another state. */
    public Endpoint withState(EndpointState newState) {
        return new Endpoint(id, newState, startedAt, weight, cell, machineKind, zone);
    }

    /** Returns the same endpoint with another start time. */
    public Endpoint withStartedAt(long newStartedAt) {
        return new Endpoint(id, state, newStartedAt, weight, cell, machineKind, zone);
    }
}
