package loadbalancer.transport;

/**
 * Limits the heap that all peers together make the process hold for one purpose. The limit of each connection alone
 * would not keep many connections from filling the heap. One object serves all connections; it is used on the event
 * loop's thread only.
 */
public final class MemoryBudget {
    private final long capacityBytes;
    private long reservedBytes;

    /** Creates a budget of {@code capacityBytes}. */
    public MemoryBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Reserves {@code bytes}; returns false and reserves nothing if they would exceed the capacity. */
    public boolean tryReserve(long bytes) {
        if (reservedBytes + bytes > capacityBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /**
     * Reserves bytes that could also wait in the socket's buffer, like {@link #tryReserve} but only up to half of the
     * capacity. The other half remains for bytes that can't wait.
     */
    public boolean tryReserveDeferrable(long bytes) {
        return reservedBytes + bytes <= capacityBytes / 2 && tryReserve(bytes);
    }

    /** Reserves {@code bytes} that are held already, even beyond the capacity. */
    public void reserve(long bytes) {
        reservedBytes += bytes;
    }

    /** Gives back {@code bytes} of the reserved ones. */
    public void release(long bytes) {
        reservedBytes -= bytes;
    }

    /** Returns how many bytes are reserved. */
    public long reservedBytes() {
        return reservedBytes;
    }
}
