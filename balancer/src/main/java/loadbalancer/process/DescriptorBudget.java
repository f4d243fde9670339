package loadbalancer.process;

import loadbalancer.http.ClientConnectionBudget;
import loadbalancer.upstream.ConnectionBudget;

/**
 * Counts the sockets of this process against its limit on descriptors, so that neither an accept nor a connect fails
 * for want of one: some stay in reserve for what is not counted here (files, the selector, discovery, the listeners),
 * and a fraction for upstream connections, whatever clients open. Belongs to the event loop's thread.
 */
final class DescriptorBudget implements ConnectionBudget, ClientConnectionBudget {
    private static final int RESERVED_DESCRIPTORS = 64;
    /** Of the limit, for this process in any case while another one shares it. */
    private static final double MIN_OWN_FRACTION = 0.4;
    /** Of what is not in reserve, for clients at most. */
    private static final double MAX_CLIENT_FRACTION = 0.65;

    private static final int MIN_CONNECTIONS = 2;

    private final int limit;
    private int maxConnections;
    private int maxClientConnections;
    private int openConnections;
    private int clientConnections;

    /**
     * Begins without an open socket.
     *
     * @param limit descriptors that the process may have open
     */
    DescriptorBudget(int limit) {
        this.limit = limit;
        setUsedByPeer(0);
    }

    /**
     * Leaves to the other process of a handover what it holds: the two have one limit together. A fraction remains for
     * this one in any case, as the other cannot close at once what it has open above its own.
     *
     * @param descriptors that the other process has open
     */
    void setUsedByPeer(int descriptors) {
        int own = Math.max((int) (limit * MIN_OWN_FRACTION), limit - descriptors);
        maxConnections = Math.max(MIN_CONNECTIONS, own - Math.min(RESERVED_DESCRIPTORS, own / 2));
        maxClientConnections = Math.max(MIN_CONNECTIONS, (int) (maxConnections * MAX_CLIENT_FRACTION));
    }

    /** Returns how many upstream connections there may be beside as many clients as possible. */
    int maxUpstreamConnections() {
        return Math.max(1, maxConnections - maxClientConnections);
    }

    /** Returns how many connections are open, to clients and upstreams. */
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
