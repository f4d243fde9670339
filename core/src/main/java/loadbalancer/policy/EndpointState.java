package loadbalancer.policy;

/** Whether an endpoint may be used. */
public enum EndpointState {
    /** The endpoint accepts requests. */
    UP,
    /** The endpoint finishes the requests in flight and is sent no new ones. */
    DRAINING,
    /** The endpoint no longer exists. */
    GONE
}
