package loadbalancer.http;

import java.util.function.Supplier;

/** Whether this process takes requests, as its clients see it. Belongs to the event loop's thread. */
final class ServingState {
    private boolean ready;
    private boolean stopping;
    private long stoppingSinceNanos;
    private Supplier<String> readinessNote = () -> null;

    boolean isReady() {
        return ready;
    }

    boolean isStopping() {
        return stopping;
    }

    /** Returns for how long the process has been stopping. */
    long stoppingNanos() {
        return System.nanoTime() - stoppingSinceNanos;
    }

    /** Returns what readiness checks say beside that it is ready, or null. */
    String readinessNote() {
        return readinessNote.get();
    }

    void setReadinessNote(Supplier<String> note) {
        readinessNote = note;
    }

    void markReady() {
        ready = !stopping;
    }

    void startStopping() {
        ready = false;
        stopping = true;
        stoppingSinceNanos = System.nanoTime();
    }
}
