package loadbalancer.process;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Tracks a process on its way to serving clients. It becomes ready, once and for good, when two conditions hold, in
 * either order: its warm-up has ended and the predecessor's state is restored, and it has a list with a usable
 * endpoint.
 *
 * <p>The state changes on the event loop's thread only; it may be read and awaited on any thread.
 */
final class Readiness {
    /** The states of a process up to readiness. */
    enum State {
        /** The warm-up has not ended, and there is no list with a usable endpoint. */
        STARTING,
        /** There is a list with a usable endpoint; the warm-up has not ended. */
        WARMING_UP,
        /** The warm-up has ended; there is no list with a usable endpoint. */
        AWAITING_ENDPOINTS,
        /** The process serves clients. */
        READY
    }

    private final Runnable onReady;
    private final CountDownLatch ready = new CountDownLatch(1);
    private volatile State state;

    /**
     * Creates the initial state, without a list.
     *
     * @param warmsUp whether the process warms up
     * @param onReady runs on the event loop's thread as the process becomes ready
     */
    Readiness(boolean warmsUp, Runnable onReady) {
        this.state = warmsUp ? State.STARTING : State.AWAITING_ENDPOINTS;
        this.onReady = onReady;
    }

    /** Records that there is a list with a usable endpoint. May be called more than once. */
    void endpointsAvailable() {
        if (state == State.STARTING) {
            state = State.WARMING_UP;
        } else if (state == State.AWAITING_ENDPOINTS) {
            becomeReady();
        }
    }

    /** Records that the warm-up has ended, or there was none, and that the predecessor's state is restored. */
    void warmUpCompleted() {
        if (state == State.STARTING) {
            state = State.AWAITING_ENDPOINTS;
        } else if (state == State.WARMING_UP) {
            becomeReady();
        }
    }

    private void becomeReady() {
        state = State.READY;
        onReady.run();
        ready.countDown();
    }

    /** Returns whether there is a list with a usable endpoint. */
    boolean hasEndpoints() {
        return state == State.WARMING_UP || state == State.READY;
    }

    /** Returns the state of the process. */
    State state() {
        return state;
    }

    /** Waits until the process is ready; returns false if it is not within the time-out. */
    boolean await(long timeoutMillis) throws InterruptedException {
        return ready.await(timeoutMillis, TimeUnit.MILLISECONDS);
    }
}
