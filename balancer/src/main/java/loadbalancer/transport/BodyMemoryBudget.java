package loadbalancer.transport;

/**
 * Limits the memory that the request bodies of all clients take together, from their arrival until the responses are
 * written. The limit of each connection alone would not keep many connections from filling the heap. One object serves
 * all client connections; it is used on the event loop's thread only.
 */
public final class BodyMemoryBudget {
    private final long capacityBytes;
    private long reservedBytes;

    /** Creates a budget of {@code capacityBytes}. */
    public BodyMemoryBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Reserves {@code bytes}; returns false and reserves nothing if they would exceed the capacity. */
    public boolean tryReserve(int bytes) {
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
    public boolean tryReserveDeferrable(int bytes) {
        return reservedBytes + bytes <= capacityBytes / 2 && tryReserve(bytes);
    }

    /** Gives back {@code bytes} of the reserved ones. */
    public void release(int bytes) {
        reservedBytes -= bytes;
    }
}
