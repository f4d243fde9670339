package loadbalancer.process;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.http.ClientListener;

/**
 * Ends a process in order: all requests that were accepted are answered, and clients get time to go elsewhere.
 *
 * <p>Changed on the event loop's thread only; {@link #begin()}, {@link #state()} and {@link #await()} may be called on
 * any thread.
 */
final class GracefulShutdown {
    /** The states, in their order. */
    enum State {
        /** Not asked to stop. */
        RUNNING,
        /** Not ready any more, but still accepting: clients go on coming for a while. */
        LINGERING,
        /** Accepts no more, and waits for the connections that hold a request, whole or in part. */
        DRAINING,
        /** The drain deadline is over: only requests that have been accepted are still answered. */
        FINISHING,
        /** Nothing is left to answer. */
        STOPPED
    }

    private static final long LINGER_MILLIS = 600;
    /** For requests that are still coming in when the process accepts no more. */
    private static final long DRAIN_TIMEOUT_MILLIS = 2_600;
    /** For the last answers to leave, and between two looks at what is left. */
    private static final long FLUSH_MILLIS = 20;

    private final EventLoop loop;
    private final ClientListener clients;
    private final BalancerPools pools;
    private final boolean listenerIsShared;
    private final Runnable closeListeners;
    private final Runnable onStopped;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private volatile State state = State.RUNNING;

    /**
     * Creates the sequence, not begun.
     *
     * @param listenerIsShared whether the platform holds the clients' listener, which another process may serve
     *     meanwhile
     * @param closeListeners runs on the event loop's thread when no further connections are to be accepted
     * @param onStopped runs on the event loop's thread as the last step
     */
    GracefulShutdown(
            EventLoop loop,
            ClientListener clients,
            BalancerPools pools,
            boolean listenerIsShared,
            Runnable closeListeners,
            Runnable onStopped) {
        this.loop = loop;
        this.clients = clients;
        this.pools = pools;
        this.listenerIsShared = listenerIsShared;
        this.closeListeners = closeListeners;
        this.onStopped = onStopped;
    }

    /** Begins to stop, and returns at once. */
    void begin() {
        loop.execute(this::linger);
        loop.schedule(this::drain, LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void linger() {
        advance(State.LINGERING);
        clients.startStopping();
    }

    private void drain() {
        advance(State.DRAINING);
        closeListeners.run();
        loop.schedule(() -> advance(State.FINISHING), DRAIN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        stopWhenDrained();
    }

    private void advance(State next) {
        if (next.compareTo(state) > 0) {
            state = next;
        }
    }

    // Where a successor serves already, connections that hold a request, whole or in part, are seen to their end.
    // Where none does, each moment until the exit is one in which nobody serves: only answers are waited for. What has
    // been accepted is answered in any case.
    private void stopWhenDrained() {
        boolean requestsLeft = listenerIsShared ? !clients.isEmpty() : clients.hasPendingResponses();
        if (requestsLeft && beforeDeadline() || clients.isStreaming()) {
            loop.schedule(this::stopWhenDrained, FLUSH_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        pools.whenIdle(() -> loop.schedule(this::stopIfNothingIsLeft, FLUSH_MILLIS, TimeUnit.MILLISECONDS));
    }

    // Looks once more: a request may have come in completely since, or a response may still wait for its client.
    private void stopIfNothingIsLeft() {
        if (clients.hasPendingResponses() && beforeDeadline()) {
            stopWhenDrained();
            return;
        }
        onStopped.run();
        advance(State.STOPPED);
        stopped.countDown();
    }

    private boolean beforeDeadline() {
        return state.compareTo(State.FINISHING) < 0;
    }

    /** Whether the process has been asked to stop. */
    boolean isStopping() {
        return state != State.RUNNING;
    }

    /** Returns where the sequence stands. */
    State state() {
        return state;
    }

    /** Waits until the process has stopped; returns early where the thread is interrupted. */
    void await() {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
