package loadbalancer.policy;

/**
 * What a list holds: the one kept over a restart, the complete one, changes only or, failed, nothing.
 * {@code LOCAL_OVERRIDE}: changes that this balancer's operators made, which say nothing of discovery.
 */
public enum EndpointListKind {
    CACHED,
    SNAPSHOT,
    DELTA,
    UNAVAILABLE,
    LOCAL_OVERRIDE
}
