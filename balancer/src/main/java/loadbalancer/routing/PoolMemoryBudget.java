package loadbalancer.routing;

/**
 * Limits the bytes of request bodies that one pool may hold until their requests have ended. A pool whose endpoints
 * hang accumulates bodies; its own limit leaves the other pools their share of the memory.
 *
 * <p>Belongs to one pool and to the event loop's thread.
 */
final class PoolMemoryBudget {
    private long maxBytes;
    private long reservedBytes;

    PoolMemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Changes the limit. Reserved bytes in excess of the new limit stay reserved, but none are added. */
    void setMaxBytes(long newMaxBytes) {
        maxBytes = newMaxBytes;
    }

    /** Reserves {@code bytes}. Reserves nothing and returns false if that would exceed the limit. */
    boolean tryReserve(long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases {@code bytes} that {@link #tryReserve} has reserved. */
    void release(long bytes) {
        reservedBytes -= bytes;
    }
}
