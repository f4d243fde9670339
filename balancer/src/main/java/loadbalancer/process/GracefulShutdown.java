package loadbalancer.process;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.http.ClientListener;

/**
 * Stops a process gracefully: all accepted requests are answered, and clients get time to connect to other balancers.
 *
 * <p>The state changes on the event loop's thread only; {@link #begin()}, {@link #isStopping()}, {@link #state()} and
 * {@link #await()} may be called on any thread.
 */
final class GracefulShutdown {
    /** The states of a shutdown, in their order. */
    enum State {
        /** No shutdown has begun. */
        RUNNING,
        /** Reports that it is not ready, but accepts connections, because clients still come for a while. */
        LINGERING,
        /** Accepts no more connections, has rejected the requests that were arriving, and answers the others. */
        DRAINING,
        /** The drain time-out has passed; connections without a request are no longer waited for. */
        FINISHING,
        /** All accepted requests have been answered. */
        STOPPED
    }

    /** How long connections are still accepted after the process reports that it is not ready. */
    private static final long LINGER_MILLIS = 600;
    /** How long connections without a request are waited for, where another process accepts new ones. */
    private static final long DRAIN_TIMEOUT_MILLIS = 2_600;
    /** Time for the last responses to be sent, and the interval between checks for open requests. */
    private static final long FLUSH_MILLIS = 20;

    /** After this time the process stops in any case: the longest deadline that a client may set, and 5 s. */
    private static final long MAX_STOP_MILLIS = 605_000;

    private final EventLoop loop;
    private final ClientListener clients;
    private final BalancerPools pools;
    private final boolean listenerIsShared;
    private final Runnable closeListeners;
    private final Runnable onStopped;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private volatile State state = State.RUNNING;

    /**
     * Creates a shutdown that has not begun.
     *
     * @param listenerIsShared whether the platform holds the listener for clients, so that another process may accept
     *     connections meanwhile
     * @param closeListeners runs on the event loop's thread when connections are no longer to be accepted
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

    /** Begins the shutdown, and returns at once. */
    void begin() {
        loop.execute(this::linger);
        loop.schedule(this::drain, LINGER_MILLIS, TimeUnit.MILLISECONDS);
        loop.schedule(this::finish, MAX_STOP_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void linger() {
        advance(State.LINGERING);
        clients.beginShutdown();
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

    // Accepted requests are answered in any case: those that had not arrived when the listeners were closed have been
    // rejected. With a shared listener a successor already serves, so the process waits until every connection has
    // ended. Otherwise nobody serves until it exits, so it waits for pending responses only.
    private void stopWhenDrained() {
        if (hasResponsesLeft() || listenerIsShared && !clients.isEmpty() && beforeDrainTimeout()) {
            loop.schedule(this::stopWhenDrained, FLUSH_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        pools.whenIdle(() -> loop.schedule(this::stopIfNothingIsLeft, FLUSH_MILLIS, TimeUnit.MILLISECONDS));
    }

    // Checks again: a request may have become complete meanwhile, or a response may still be on its way to the client.
    private void stopIfNothingIsLeft() {
        if (hasResponsesLeft()) {
            stopWhenDrained();
            return;
        }
        finish();
    }

    private boolean hasResponsesLeft() {
        return clients.hasPendingResponses() || clients.isStreaming();
    }

    private void finish() {
        if (state != State.STOPPED) {
            onStopped.run();
            advance(State.STOPPED);
            stopped.countDown();
        }
    }

    private boolean beforeDrainTimeout() {
        return state.compareTo(State.FINISHING) < 0;
    }

    /** Returns whether the shutdown has begun. */
    boolean isStopping() {
        return state != State.RUNNING;
    }

    /** Returns the state of the shutdown. */
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
