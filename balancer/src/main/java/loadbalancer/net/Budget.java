package loadbalancer.net;

/** What connections to upstreams are counted against. */
interface Budget {
    void opened();

    void closed();

    /** Whether no further connection may be opened. */
    boolean full();
}
