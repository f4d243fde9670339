package loadbalancer.upstream;

/** What connections to upstreams are counted against. Called on the event loop's thread alone. */
public interface ConnectionBudget {
    /** A connection is about to be opened. */
    void connectionOpened();

    /** A connection that was counted has ended. */
    void connectionClosed();

    /** Returns whether no further connection may be opened. */
    boolean isFull();
}
