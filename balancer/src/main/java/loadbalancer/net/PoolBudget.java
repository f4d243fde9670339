package loadbalancer.net;

/**
 * A pool's part of the connections, and of the bytes held for requests. Guards against a pool whose upstreams hang:
 * its connections pile up, and without a part of its own it would take those of all others.
 */
final class PoolBudget implements Budget {
    private final Budget all;
    private int most;
    private int open;
    private long bytesMost;
    private long bytes;

    PoolBudget(Budget all, int most, long bytesMost) {
        this.all = all;
        set(most, bytesMost);
    }

    /** From here on; what is over it already is not closed, but nothing is added. */
    void set(int connections, long memory) {
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

    int open() {
        return open;
    }

    /** False where there is no room: nothing is taken then. */
    boolean hold(long more) {
        if (bytes + more > bytesMost) {
            return false;
        }
        bytes += more;
        return true;
    }

    void release(long held) {
        bytes -= held;
    }
}
