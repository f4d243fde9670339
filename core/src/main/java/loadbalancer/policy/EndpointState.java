package loadbalancer.policy;

/** A listed server runs, finishes its work without taking more, or has gone. */
public enum EndpointState {
    UP,
    DRAINING,
    GONE
}
