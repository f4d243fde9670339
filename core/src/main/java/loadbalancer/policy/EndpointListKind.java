package loadbalancer.policy;

/** Where an endpoint list comes from, and whether it is complete. */
public enum EndpointListKind {
    /** The complete list, kept across a restart of the balancer. */
    CACHED,
    /** The complete list, from discovery. */
    SNAPSHOT,
    /** Changes only, from discovery. */
    DELTA,
    /** No list: discovery could not be reached or did not respond. */
    UNAVAILABLE,
    /** Changes made by this balancer's operators, which say nothing about discovery. */
    LOCAL_OVERRIDE;

    /** Whether endpoints that are missing from the list are gone. */
    public boolean isComplete() {
        return this == CACHED || this == SNAPSHOT;
    }

    /** Whether the list shows that discovery can be reached. */
    public boolean isFromDiscovery() {
        return this == SNAPSHOT || this == DELTA;
    }
}
