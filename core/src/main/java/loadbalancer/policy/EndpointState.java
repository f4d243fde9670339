package loadbalancer.policy;

/** Whether an endpoint may be used. */
public enum EndpointState {
    /** It takes requests. */
    UP,
    /** It finishes its work and is sent no more. */
    DRAINING,
    /** It is no longer there. */
    GONE
}
