package loadbalancer.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;

/** An endpoint of the list, its drain and its idle connections. Belongs to the event loop's thread. */
final class UpstreamEndpoint {
    private static final long NOT_DRAINING = Long.MAX_VALUE;

    private final String id;
    private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>(); // the most recently used last
    private InetSocketAddress address; // null while the list names none
    private long drainDeadlineMicros = NOT_DRAINING;

    UpstreamEndpoint(String id) {
        this.id = id;
    }

    String id() {
        return id;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Takes another address: connections to the former one belong to another endpoint, if to any. */
    void moveTo(InetSocketAddress other) {
        closeIdle();
        address = other;
    }

    /** Returns whether requests may be sent at that time. */
    boolean accepts(long nowMicros) {
        return nowMicros < drainDeadlineMicros;
    }

    boolean isDraining() {
        return drainDeadlineMicros < NOT_DRAINING;
    }

    boolean drainedBefore(long micros) {
        return drainDeadlineMicros < micros;
    }

    /** Sends nothing from {@code deadlineMicros} on, or from an earlier deadline that holds already. */
    void drainBy(long deadlineMicros) {
        drainDeadlineMicros = Math.min(drainDeadlineMicros, deadlineMicros);
        closeIdle();
    }

    void endDrain() {
        drainDeadlineMicros = NOT_DRAINING;
    }

    /** Sends nothing from here on. */
    void shutDown() {
        drainDeadlineMicros = Long.MIN_VALUE;
        closeIdle();
    }

    // ---- idle connections

    void addIdle(UpstreamConnection connection) {
        idle.addLast(connection);
    }

    void removeIdle(UpstreamConnection connection) {
        idle.remove(connection);
    }

    /** Returns the connection that has been idle for longest, or null. */
    UpstreamConnection longestIdle() {
        return idle.peekFirst();
    }

    /**
     * Removes and returns the most recently used of the settled connections, so that the others grow old and are
     * closed; where none has settled, the one that will settle soonest; null where there is none.
     */
    UpstreamConnection takeIdle() {
        UpstreamConnection soonest = null;
        for (Iterator<UpstreamConnection> iterator = idle.descendingIterator(); iterator.hasNext(); ) {
            UpstreamConnection connection = iterator.next();
            if (!connection.isUsable()) {
                iterator.remove();
                connection.close();
            } else if (connection.settlesInMicros() == 0) {
                iterator.remove();
                return connection;
            } else {
                soonest = connection;
            }
        }
        if (soonest != null) {
            idle.remove(soonest);
        }
        return soonest;
    }

    void closeIdle() {
        for (UpstreamConnection next = idle.pollFirst(); next != null; next = idle.pollFirst()) {
            next.close();
        }
    }

    /** Closes the connections that are too old to be used. */
    void closeExpired() {
        while (!idle.isEmpty() && !idle.peekFirst().isUsable()) {
            idle.pollFirst().close();
        }
    }
}
