package loadbalancer.http;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import loadbalancer.transport.BodyMemoryBudget;

/**
 * The open connections of clients: checks their time-outs and closes those that are needed least where the budget is
 * spent. Belongs to the event loop's thread.
 */
final class ClientConnections {
    private static final long RECENT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long STUCK_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    private static final long LONG_IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ClientRequestHandler requestHandler;
    private final BodyMemoryBudget memory;
    private final ClientConnectionBudget budget;
    private final BooleanSupplier closeIdleUpstream;
    private final Runnable capacityListener;
    private final Set<ClientConnection> connections = new LinkedHashSet<>(); // the oldest first
    private boolean ensuringCapacity;

    /**
     * Creates an empty set.
     *
     * @param closeIdleUpstream closes an idle connection to an upstream; false where there is none
     * @param capacityListener runs whenever the capacity may have changed
     */
    ClientConnections(
            ClientRequestHandler requestHandler,
            BodyMemoryBudget memory,
            ClientConnectionBudget budget,
            BooleanSupplier closeIdleUpstream,
            Runnable capacityListener) {
        this.requestHandler = requestHandler;
        this.memory = memory;
        this.budget = budget;
        this.closeIdleUpstream = closeIdleUpstream;
        this.capacityListener = capacityListener;
    }

    /** Adds a connection that has been accepted, until it closes. */
    void add(Channel channel) {
        ClientConnection connection = new ClientConnection(requestHandler, memory, channel);
        budget.clientConnectionOpened();
        ensureCapacity();
        connections.add(connection);
        channel.closeFuture().addListener(closed -> {
            budget.clientConnectionClosed();
            connections.remove(connection);
            connection.onClosed();
            ensureCapacity();
        });
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    boolean hasCapacity() {
        return !budget.isFullForClients();
    }

    boolean hasStreaming() {
        return connections.stream().anyMatch(ClientConnection::isStreaming);
    }

    boolean hasPendingResponses() {
        return connections.stream().anyMatch(ClientConnection::hasPendingResponse);
    }

    void closeIdle() {
        long nowNanos = System.nanoTime();
        List.copyOf(connections).stream()
                .filter(connection -> connection.idleNanos(nowNanos) >= 0)
                .forEach(ClientConnection::close);
    }

    void refuseIncomplete() {
        List.copyOf(connections).forEach(ClientConnection::refuseIncomplete);
    }

    void checkTimeouts() {
        long nowNanos = System.nanoTime();
        List.copyOf(connections).forEach(connection -> connection.checkTimeouts(nowNanos));
        ensureCapacity();
    }

    /**
     * Closes connections until another client fits, so that no accept fails for want of descriptors and clients leave
     * some to the upstreams; where none can be closed, new connections wait in the listener's backlog.
     */
    void ensureCapacity() {
        if (ensuringCapacity) {
            return; // the end of what it closes is notified here
        }
        ensuringCapacity = true;
        boolean closed = true;
        while (budget.isFullForClients() && closed) {
            closed = closeLeastNeeded(budget.isFull());
        }
        ensuringCapacity = false;
        capacityListener.run();
    }

    /**
     * Closes the connection that is needed least; returns false where all are in use. Clients that have never requested
     * anything go first, then those that have long been idle, and at last those that have stopped in the middle of a
     * request. A recent connection stays, as its request is probably on its way. Where clients alone are too many,
     * {@code upstreamsToo} is false: a connection to an upstream would be closed in vain.
     */
    boolean closeLeastNeeded(boolean upstreamsToo) {
        long nowNanos = System.nanoTime();
        ClientConnection longestIdle = null;
        ClientConnection longestStuck = null;
        long maxIdleNanos = RECENT_NANOS;
        long maxStuckNanos = STUCK_NANOS;
        for (ClientConnection connection : connections) {
            long idleNanos = connection.idleNanos(nowNanos);
            if (idleNanos > RECENT_NANOS && !connection.hasRequested()) {
                connection.close();
                return true;
            }
            if (idleNanos > maxIdleNanos) {
                maxIdleNanos = idleNanos;
                longestIdle = connection;
            }
            long stuckNanos = connection.stuckNanos(nowNanos);
            if (stuckNanos > maxStuckNanos) {
                maxStuckNanos = stuckNanos;
                longestStuck = connection;
            }
        }
        if (upstreamsToo && maxIdleNanos < LONG_IDLE_NANOS && closeIdleUpstream.getAsBoolean()) {
            return true;
        }
        ClientConnection leastNeeded = longestIdle != null ? longestIdle : longestStuck;
        if (leastNeeded != null) {
            leastNeeded.close();
        }
        return leastNeeded != null;
    }
}
