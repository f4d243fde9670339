package loadbalancer.process;

import loadbalancer.http.ClientConnectionBudget;
import loadbalancer.upstream.ConnectionBudget;

/**
 * Counts the sockets of this process against its limit on descriptors. Guards against accepts and connects
 * that fail for want of descriptors: a reserve stays for what is not counted here (jars, the selector,
 * discovery, the listener), and a part for the upstreams, whatever clients open.
 */
public final class DescriptorBudget implements ConnectionBudget, ClientConnectionBudget {
    private static final int RESERVE = 64;
    private static final double OWN_LEAST = 0.4;
    private static final double CLIENTS_SHARE = 0.65;
    private final int limit;
    private int most;
    private int clientsMost;
    private int open;
    private int clients;

    public DescriptorBudget(int limit) {
        this.limit = limit;
        leave(0);
    }

    /**
     * Leaves to another process what it holds: two that stand in for each other have one limit together. A
     * part remains for this one in any case: the other can't close at once what it holds too much.
     */
    public void leave(int others) {
        int own = Math.max((int) (limit * OWN_LEAST), limit - others);
        most = Math.max(2, own - Math.min(RESERVE, own / 2));
        clientsMost = Math.max(2, (int) (most * CLIENTS_SHARE));
    }

    /** Connections to upstreams that fit beside as many clients as may come. */
    public int forUpstreams() {
        return Math.max(1, most - clientsMost);
    }

    public int open() {
        return open;
    }

    @Override
    public void opened() {
        open++;
    }

    @Override
    public void closed() {
        open--;
    }

    @Override
    public void clientOpened() {
        open++;
        clients++;
    }

    @Override
    public void clientClosed() {
        open--;
        clients--;
    }

    @Override
    public boolean full() {
        return open >= most;
    }

    @Override
    public boolean fullForClients() {
        return clients >= clientsMost || full();
    }
}
