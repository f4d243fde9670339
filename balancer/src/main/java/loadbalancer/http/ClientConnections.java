package loadbalancer.http;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import loadbalancer.transport.MemoryBudgets;

/**
 * The open client connections. Checks their timeouts, and closes the least needed ones when the budget is full. Used on
 * the event loop's thread only.
 */
final class ClientConnections {
    private static final long MIN_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MIN_RECEIVE_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    private static final long LONG_IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ClientRequestHandler requestHandler;
    private final MemoryBudgets memory;
    private final ClientConnectionBudget budget;
    private final BooleanSupplier closeIdleUpstream;
    private final Runnable capacityListener;
    private final Set<ClientConnection> connections = new LinkedHashSet<>(); // the oldest one is first
    private boolean ensuringCapacity;

    /**
     * Creates an empty set.
     *
     * @param closeIdleUpstream closes an idle connection to an upstream; returns false if there is none
     * @param capacityListener runs each time the capacity may have changed
     */
    ClientConnections(
            ClientRequestHandler requestHandler,
            MemoryBudgets memory,
            ClientConnectionBudget budget,
            BooleanSupplier closeIdleUpstream,
            Runnable capacityListener) {
        this.requestHandler = requestHandler;
        this.memory = memory;
        this.budget = budget;
        this.closeIdleUpstream = closeIdleUpstream;
        this.capacityListener = capacityListener;
    }

    /** Adds a connection that has been accepted; it is removed when it closes. */
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

    void rejectIncomplete() {
        List.copyOf(connections).forEach(ClientConnection::rejectIncomplete);
    }

    void checkTimeouts() {
        long nowNanos = System.nanoTime();
        List.copyOf(connections).forEach(connection -> connection.checkTimeouts(nowNanos));
        ensureCapacity();
    }

    /**
     * Closes connections until there is capacity for another client, so that accepting does not fail for lack of file
     * descriptors and some remain for upstreams. If no connection can be closed, new connections wait in the listener's
     * backlog.
     */
    void ensureCapacity() {
        if (ensuringCapacity) {
            return; // called again by the close listener of a connection that the loop below closes
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
     * Closes the least needed connection; returns false if all are in use. Idle clients that have never sent a request
     * are closed first, then the client that has been idle the longest, and last a client that has stopped in the
     * middle of a request. Connections that have become idle only recently are kept, as a request is probably on its
     * way.
     *
     * @param upstreamsToo whether an idle connection to an upstream may be closed instead of a client that has been
     *     idle for less than a second or has stopped in the middle of a request; false if only the limit for clients is
     *     reached, as closing a connection to an upstream would not help
     */
    boolean closeLeastNeeded(boolean upstreamsToo) {
        long nowNanos = System.nanoTime();
        ClientConnection longestIdle = null;
        ClientConnection longestStalled = null;
        long maxIdleNanos = MIN_IDLE_NANOS;
        long maxReceiveStalledNanos = MIN_RECEIVE_STALL_NANOS;
        for (ClientConnection connection : connections) {
            long idleNanos = connection.idleNanos(nowNanos);
            if (idleNanos > MIN_IDLE_NANOS && !connection.hasRequested()) {
                connection.close();
                return true;
            }
            if (idleNanos > maxIdleNanos) {
                maxIdleNanos = idleNanos;
                longestIdle = connection;
            }
            long receiveStalledNanos = connection.receiveStalledNanos(nowNanos);
            if (receiveStalledNanos > maxReceiveStalledNanos) {
                maxReceiveStalledNanos = receiveStalledNanos;
                longestStalled = connection;
            }
        }
        if (upstreamsToo && maxIdleNanos < LONG_IDLE_NANOS && closeIdleUpstream.getAsBoolean()) {
            return true;
        }
        ClientConnection leastNeeded = longestIdle != null ? longestIdle : longestStalled;
        if (leastNeeded != null) {
            leastNeeded.close();
        }
        return leastNeeded != null;
    }
}
