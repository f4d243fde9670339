package loadbalancer.routing;

import loadbalancer.upstream.ConnectionBudget;

/**
 * Limits how many upstream connections one pool may have open, and counts them against the process's budget as well. A
 * pool whose endpoints hang accumulates connections; its own limit leaves the other pools their share of the process's
 * budget.
 *
 * <p>Belongs to one pool and to the event loop's thread.
 */
public final class PoolConnectionBudget implements ConnectionBudget {
    private final ConnectionBudget processBudget;
    private int maxOpen;
    private int open;

    /**
     * Creates a budget without open connections.
     *
     * @param processBudget the budget that all pools of the process share
     * @param maxOpen the maximum number of open connections of this pool
     */
    public PoolConnectionBudget(ConnectionBudget processBudget, int maxOpen) {
        this.processBudget = processBudget;
        this.maxOpen = maxOpen;
    }

    /** Changes the limit. Open connections in excess of the new limit stay open, but none is added. */
    public void setMaxOpen(int newMaxOpen) {
        maxOpen = newMaxOpen;
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
