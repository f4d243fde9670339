package loadbalancer.http;

/** What clients' connections are counted against. Called on the event loop's thread alone. */
public interface ClientConnectionBudget {
    /** A client's connection has been accepted. */
    void clientOpened();

    /** A client's connection has ended. */
    void clientClosed();

    /** Returns whether no further connection of any kind may be opened. */
    boolean full();

    /** Returns whether no further client's connection should be accepted. */
    boolean fullForClients();
}
