package loadbalancer.upstream;

/** A limit on the number of connections to upstreams. Called on the event loop's thread only. */
public interface ConnectionBudget {
    /** Counts a connection that is about to be opened. */
    void connectionOpened();

    /** Uncounts a connection that has closed. */
    void connectionClosed();

    /** Returns whether the limit is reached, so that no further connection may be opened. */
    boolean isFull();
}
