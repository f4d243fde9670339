package loadbalancer.policy;

/** Where an endpoint list comes from, and whether it is complete. */
public enum EndpointListKind {
    /** The complete list that was kept over a restart of the balancer. */
    CACHED,
    /** The complete list, from discovery. */
    SNAPSHOT,
    /** Changes only, from discovery. */
    DELTA,
    /** Nothing: discovery could not be reached or did not answer. */
    UNAVAILABLE,
    /** Changes that this balancer's operators made, which say nothing about discovery. */
    LOCAL_OVERRIDE;

    /** Whether endpoints that the list lacks have gone. */
    public boolean isComplete() {
        return this == CACHED || this == SNAPSHOT;
    }

    /** Whether the list shows that discovery can be reached. */
    public boolean isAnswerOfDiscovery() {
        return this == SNAPSHOT || this == DELTA;
    }
}
