package loadbalancer.upstream;

/** What connections to upstreams are counted against. */
public interface ConnectionBudget {
    void opened();

    void closed();

    /** Whether no further connection may be opened. */
    boolean full();
}
