package loadbalancer.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * An endpoint with its drain deadline and its idle connections. What it is told by is its id, its address and its start
 * together: a process that has started anew, or has taken over the address, is another one, and nothing that was meant
 * for the former process may go to it. Used on the event loop's thread only.
 */
final class UpstreamEndpoint {
    private static final long NOT_DRAINING = Long.MAX_VALUE;

    private final String id;
    private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>(); // the most recently used one is last
    private InetSocketAddress address; // null if the endpoint list contains none
    private long startedAtMicros; // 0 if the endpoint list does not tell
    private int processNumber; // counts the processes that this endpoint has been
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

    /** Returns the number of the process that this endpoint is now; it changes with the process. */
    int processNumber() {
        return processNumber;
    }

    /**
     * Updates the address and the start as they are listed; either may be unknown, null or 0. If the endpoint is
     * another process now, its idle connections are closed.
     */
    void update(InetSocketAddress newAddress, long newStartedAtMicros) {
        boolean moved = newAddress != null && !newAddress.equals(address);
        boolean restarted = newStartedAtMicros > 0 && newStartedAtMicros != startedAtMicros;
        if (moved || restarted) {
            processEnded();
        }
        address = newAddress == null ? address : newAddress;
        startedAtMicros = newStartedAtMicros > 0 ? newStartedAtMicros : startedAtMicros;
    }

    /** Called when the process has ended, as another endpoint listens at its address. */
    void processEnded() {
        processNumber++;
        closeIdle();
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
