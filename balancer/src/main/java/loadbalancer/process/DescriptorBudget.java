package loadbalancer.process;

import loadbalancer.http.ClientConnectionBudget;
import loadbalancer.upstream.ConnectionBudget;

/**
 * Counts this process's connections against its limit on file descriptors, so that neither an accept nor a connect
 * fails for lack of one. Some descriptors are reserved for what is not counted here (files, the selector, discovery,
 * the listeners), and clients may use only a fraction of the rest, so that upstream connections can always be opened.
 * Confined to the event loop's thread.
 */
final class DescriptorBudget implements ConnectionBudget, ClientConnectionBudget {
    private static final int RESERVED_DESCRIPTORS = 64;
    /** Fraction of the limit that this process always keeps while another process shares the limit. */
    private static final double MIN_OWN_FRACTION = 0.4;
    /** Largest fraction of the unreserved descriptors that client connections may use. */
    private static final double MAX_CLIENT_FRACTION = 0.65;

    private static final int MIN_CONNECTIONS = 2;

    private final int limit;
    private int maxConnections;
    private int maxClientConnections;
    private int openConnections;
    private int clientConnections;

    /**
     * Creates a budget with no open connections.
     *
     * @param limit how many descriptors the process may have open
     */
    DescriptorBudget(int limit) {
        this.limit = limit;
        setUsedByPeer(0);
    }

    /**
     * Subtracts the descriptors of the other process in a handover, since both share one limit. A fraction of the limit
     * always remains for this process, because the other cannot at once close what it has open beyond its own share.
     *
     * @param descriptors how many descriptors the other process has open
     */
    void setUsedByPeer(int descriptors) {
        int ownDescriptors = Math.max((int) (limit * MIN_OWN_FRACTION), limit - descriptors);
        maxConnections = Math.max(MIN_CONNECTIONS, ownDescriptors - Math.min(RESERVED_DESCRIPTORS, ownDescriptors / 2));
        maxClientConnections = Math.max(MIN_CONNECTIONS, (int) (maxConnections * MAX_CLIENT_FRACTION));
    }

    /** Returns how many upstream connections fit beside the largest number of client connections. */
    int maxUpstreamConnections() {
        return Math.max(1, maxConnections - maxClientConnections);
    }

    /** Returns how many connections to clients and upstreams are open. */
    int openConnections() {
        return openConnections;
    }

    @Override
    public void connectionOpened() {
        openConnections++;
    }

    @Override
    public void connectionClosed() {
        openConnections--;
    }

    @Override
    public void clientConnectionOpened() {
        openConnections++;
        clientConnections++;
    }

    @Override
    public void clientConnectionClosed() {
        openConnections--;
        clientConnections--;
    }

    @Override
    public boolean isFull() {
        return openConnections >= maxConnections;
    }

    @Override
    public boolean isFullForClients() {
        return clientConnections >= maxClientConnections || isFull();
    }
}
