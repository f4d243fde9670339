package loadbalancer.transport;

/**
 * Counts the heap that the peer of one connection makes the process hold. Each connection has some bytes of its own, so
 * that ordinary messages are accepted however much other peers hold; only what exceeds them comes from the budget that
 * all connections share. Used on the event loop's thread only.
 */
public final class ConnectionMemory {
    /** What a connection may hold without the shared budget: an ordinary head, or a small response. */
    static final int OWN_BYTES = 2 * 1024;

    private final MemoryBudget shared;
    private long heldBytes;

    /** Creates an account that holds nothing. */
    public ConnectionMemory(MemoryBudget shared) {
        this.shared = shared;
    }

    /** Counts {@code bytes} as held; returns false and counts nothing if the shared budget has no room for them. */
    public boolean tryReserve(int bytes) {
        if (!shared.tryReserve(sharedPart(heldBytes + bytes) - sharedPart(heldBytes))) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    /** Counts {@code bytes} that are held already, even beyond the shared budget. */
    public void reserve(int bytes) {
        shared.reserve(sharedPart(heldBytes + bytes) - sharedPart(heldBytes));
        heldBytes += bytes;
    }

    /** Uncounts {@code bytes} of the held ones; those that {@link #releaseAll} has uncounted are ignored. */
    public void release(int bytes) {
        long remainingBytes = Math.max(0, heldBytes - bytes);
        shared.release(sharedPart(heldBytes) - sharedPart(remainingBytes));
        heldBytes = remainingBytes;
    }

    /** Uncounts everything, as the connection has closed or holds nothing any more. */
    public void releaseAll() {
        shared.release(sharedPart(heldBytes));
        heldBytes = 0;
    }

    private static long sharedPart(long bytes) {
        return Math.max(0, bytes - OWN_BYTES);
    }
}
