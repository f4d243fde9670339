package loadbalancer.routing;

/**
 * The bytes of request bodies that one pool may hold until they are answered. A pool whose endpoints hang piles up
 * bodies; its own limit leaves the other pools their memory.
 *
 * <p>Owned by one pool; event loop only.
 */
final class PoolMemoryBudget {
    private long maxBytes;
    private long reservedBytes;

    PoolMemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Changes the limit; what is over it already stays reserved, but nothing is added. */
    void setMaxBytes(long bytes) {
        maxBytes = bytes;
    }

    /** Reserves that many bytes; false, and nothing is reserved, where they exceed the limit. */
    boolean tryReserve(long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases bytes that {@link #tryReserve} has reserved. */
    void release(long bytes) {
        reservedBytes -= bytes;
    }
}
