package loadbalancer.process;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * How far a process is from serving clients. It becomes ready, once and for good, when its warm-up has ended, with the
 * predecessor's state restored, and it has a list with an endpoint to send to; either may come first.
 *
 * <p>Changed on the event loop's thread only; may be read and waited for on any thread.
 */
final class Readiness {
    /** The states, from the start of the process on. */
    enum State {
        /** Neither is the warm-up over nor is there a list. */
        STARTING,
        /** There is a list; the warm-up is not over. */
        WARMING_UP,
        /** The warm-up is over; there is no list. */
        AWAITING_ENDPOINTS,
        /** Serves clients. */
        READY
    }

    private final Runnable onReady;
    private final CountDownLatch ready = new CountDownLatch(1);
    private volatile State state;

    /**
     * Begins before any list.
     *
     * @param warmsUp whether there is a warm-up at all
     * @param onReady runs on the event loop's thread as the process becomes ready
     */
    Readiness(boolean warmsUp, Runnable onReady) {
        this.state = warmsUp ? State.STARTING : State.AWAITING_ENDPOINTS;
        this.onReady = onReady;
    }

    /** There is a list with endpoints to send to; it may be said more than once. */
    void endpointsAvailable() {
        if (state == State.STARTING) {
            state = State.WARMING_UP;
        } else if (state == State.AWAITING_ENDPOINTS) {
            becomeReady();
        }
    }

    /** The warm-up is over, or there was none, and the predecessor's state has been restored. */
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

    /** Whether a list with endpoints to send to has come. */
    boolean hasEndpoints() {
        return state == State.WARMING_UP || state == State.READY;
    }

    /** Returns where the process stands. */
    State state() {
        return state;
    }

    /** Waits until the process is ready; false where it is not after that time. */
    boolean await(long millis) throws InterruptedException {
        return ready.await(millis, TimeUnit.MILLISECONDS);
    }
}
