package loadbalancer.routing;

import loadbalancer.upstream.ConnectionBudget;

/**
 * The upstream connections that one pool may have open, counted against the process's budget as well. A pool whose
 * endpoints hang piles up connections; its own limit keeps it from taking those of all other pools.
 *
 * <p>Owned by one pool; event loop only.
 */
public final class PoolConnectionBudget implements ConnectionBudget {
    private final ConnectionBudget processBudget;
    private int maxOpen;
    private int open;

    /**
     * Creates a budget with nothing open.
     *
     * @param processBudget what all pools of the process share
     * @param maxOpen connections that this pool may have open at the most
     */
    public PoolConnectionBudget(ConnectionBudget processBudget, int maxOpen) {
        this.processBudget = processBudget;
        this.maxOpen = maxOpen;
    }

    /** Changes the limit; connections that are over it already stay open, but none is added. */
    public void setMaxOpen(int connections) {
        maxOpen = connections;
    }

    @Override
    public void connectionOpened() {
        open++;
        processBudget.connectionOpened();
    }

    @Override
    public void connectionClosed() {
        open--;
        processBudget.connectionClosed();
    }

    @Override
    public boolean isFull() {
        return open >= maxOpen || processBudget.isFull();
    }
}
