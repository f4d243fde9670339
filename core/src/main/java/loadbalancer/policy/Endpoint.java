package loadbalancer.policy;

/**
 * One entry of the list. {@code startedAt} is 0 where the last start is long past; {@code weight}
 * compares servers only; {@code cell}, {@code kind} and {@code zone} are numbers, or -1.
 */
public record Endpoint(String id, EndpointState state, long startedAt, double weight, int cell, int kind, int zone) {
    /** The same server in another state. */
    public Endpoint in(EndpointState other) {
        return new Endpoint(id, other, startedAt, weight, cell, kind, zone);
    }

    /** The same server, started at another time. */
    public Endpoint startedAt(long other) {
        return new Endpoint(id, state, other, weight, cell, kind, zone);
    }
}
