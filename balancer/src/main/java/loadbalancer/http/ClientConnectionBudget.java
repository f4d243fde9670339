package loadbalancer.http;

/** What clients' connections are counted against. Called on the event loop's thread alone. */
public interface ClientConnectionBudget {
    /** A client's connection has been accepted. */
    void clientConnectionOpened();

    /** A client's connection has ended. */
    void clientConnectionClosed();

    /** Returns whether no further connection of any kind may be opened. */
    boolean isFull();

    /** Returns whether no further client's connection should be accepted. */
    boolean isFullForClients();
}
