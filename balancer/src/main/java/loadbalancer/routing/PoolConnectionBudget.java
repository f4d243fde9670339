package loadbalancer.routing;

import loadbalancer.upstream.ConnectionBudget;

/**
 * A pool's part of the connections, and of the bytes held for requests. Guards against a pool whose upstreams hang:
 * its connections pile up, and without a part of its own it would take those of all others.
 */
public final class PoolConnectionBudget implements ConnectionBudget {
    private final ConnectionBudget all;
    private int most;
    private int open;
    private long bytesMost;
    private long bytes;

    public PoolConnectionBudget(ConnectionBudget all, int most, long bytesMost) {
        this.all = all;
        set(most, bytesMost);
    }

    /** From here on; what is over it already is not closed, but nothing is added. */
    public void set(int connections, long memory) {
        most = connections;
        bytesMost = memory;
    }

    @Override
    public void opened() {
        open++;
        all.opened();
    }

    @Override
    public void closed() {
        open--;
        all.closed();
    }

    @Override
    public boolean full() {
        return open >= most || all.full();
    }

    public int open() {
        return open;
    }

    /** False where there is no room: nothing is taken then. */
    public boolean hold(long more) {
        if (bytes + more > bytesMost) {
            return false;
        }
        bytes += more;
        return true;
    }

    public void release(long held) {
        bytes -= held;
    }
}
