package loadbalancer.http;

import java.util.function.Supplier;

/** Whether this process is ready to serve requests or is stopping. Used on the event loop's thread only. */
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

    /** Returns the time since the process started to stop. */
    long stoppingNanos() {
        return System.nanoTime() - stoppingSinceNanos;
    }

    /** Returns the text that readiness checks of a ready process include, or null. */
    String readinessNote() {
        return readinessNote.get();
    }

    void setReadinessNote(Supplier<String> note) {
        readinessNote = note;
    }

    void markReady() {
        ready = !stopping;
    }

    void beginShutdown() {
        ready = false;
        stopping = true;
        stoppingSinceNanos = System.nanoTime();
    }
}
