package loadbalancer.http;

/** A limit on the number of client connections. Called on the event loop's thread only. */
public interface ClientConnectionBudget {
    /** Counts a client connection that has been accepted. */
    void clientConnectionOpened();

    /** Uncounts a client connection that has closed. */
    void clientConnectionClosed();

    /** Returns whether no further connection of any kind may be opened. */
    boolean isFull();

    /** Returns whether no further client connection should be accepted. */
    boolean isFullForClients();
}
