package loadbalancer.transport;

/**
 * The memory that clients' bodies may take together, from their arrival until their requests have their responses. Each
 * connection keeps to its own limit; this one keeps many connections together from filling the heap. One object serves
 * all client connections, on the event loop's thread.
 */
public final class BodyMemoryBudget {
    private final long capacityBytes;
    private long reservedBytes;

    /** Creates a budget of that many bytes. */
    public BodyMemoryBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Reserves that many bytes; returns false, and reserves none, where they exceed the capacity. */
    public boolean tryReserve(int bytes) {
        if (reservedBytes + bytes > capacityBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /**
     * As {@link #tryReserve}, for bytes that could as well wait in the socket's buffer: half of the capacity stays for
     * those that can't.
     */
    public boolean tryReserveDeferrable(int bytes) {
        return reservedBytes + bytes <= capacityBytes / 2 && tryReserve(bytes);
    }

    /** Returns bytes that had been reserved. */
    public void release(int bytes) {
        reservedBytes -= bytes;
    }
}
