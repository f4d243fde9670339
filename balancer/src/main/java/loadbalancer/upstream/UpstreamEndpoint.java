package loadbalancer.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;

/** An endpoint with its drain deadline and its idle connections. Used on the event loop's thread only. */
final class UpstreamEndpoint {
    private static final long NOT_DRAINING = Long.MAX_VALUE;

    private final String id;
    private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>(); // the most recently used one is last
    private InetSocketAddress address; // null if the endpoint list contains none
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

    /** Changes the address and closes the idle connections, whose peer is no longer this endpoint. */
    void changeAddress(InetSocketAddress newAddress) {
        closeIdle();
        address = newAddress;
    }

    /** Returns whether requests may be sent at {@code nowMicros}. */
    boolean accepts(long nowMicros) {
        return nowMicros < drainDeadlineMicros;
    }

    boolean isDraining() {
        return drainDeadlineMicros < NOT_DRAINING;
    }

    boolean drainedBefore(long micros) {
        return drainDeadlineMicros < micros;
    }

    /**
     * Allows no requests from {@code deadlineMicros} on, unless an earlier deadline is in force, and closes the idle
     * connections.
     */
    void drainBy(long deadlineMicros) {
        drainDeadlineMicros = Math.min(drainDeadlineMicros, deadlineMicros);
        closeIdle();
    }

    void endDrain() {
        drainDeadlineMicros = NOT_DRAINING;
    }

    /** Allows no more requests and closes the idle connections. */
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

    /** Returns the connection that has been idle the longest, or null if none is idle. */
    UpstreamConnection longestIdle() {
        return idle.peekFirst();
    }

    /**
     * Removes and returns an idle connection: of those that may carry a request now the most recently used one, so that
     * surplus connections expire, or else the one whose {@link ReuseCheck} began first. Returns null if none is idle.
     */
    UpstreamConnection takeIdle() {
        UpstreamConnection firstUnproven = null;
        for (Iterator<UpstreamConnection> iterator = idle.descendingIterator(); iterator.hasNext(); ) {
            UpstreamConnection connection = iterator.next();
            if (!connection.isUsable()) {
                iterator.remove();
                connection.close();
            } else if (connection.isProven()) {
                iterator.remove();
                return connection;
            } else {
                firstUnproven = connection;
            }
        }
        if (firstUnproven != null) {
            idle.remove(firstUnproven);
        }
        return firstUnproven;
    }

    void closeIdle() {
        for (UpstreamConnection next = idle.pollFirst(); next != null; next = idle.pollFirst()) {
            next.close();
        }
    }

    /** Closes the connections that have been idle for too long to be reused. */
    void closeExpired() {
        while (!idle.isEmpty() && !idle.peekFirst().isUsable()) {
            idle.pollFirst().close();
        }
    }
}
