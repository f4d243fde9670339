package loadbalancer.policy;

/**
 * One entry of the endpoint list.
 *
 * @param id opaque and unique
 * @param startedAt when the endpoint last started, µs of the balancer's clock; 0 where that is long past
 * @param weight capacity in any unit, as it is only compared with that of other endpoints
 * @param cell number of its cell, the endpoints that share idempotency keys; or -1
 * @param machineKind number of its kind of machine, or -1
 * @param zone number of its zone, or -1
 */
public record Endpoint(
        String id, EndpointState state, long startedAt, double weight, int cell, int machineKind, int zone) {
    /** The same endpoint in another state. */
    public Endpoint withState(EndpointState other) {
        return new Endpoint(id, other, startedAt, weight, cell, machineKind, zone);
    }

    /** The same endpoint, started at another time. */
    public Endpoint withStartedAt(long other) {
        return new Endpoint(id, state, other, weight, cell, machineKind, zone);
    }
}
