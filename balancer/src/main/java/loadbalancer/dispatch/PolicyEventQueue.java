package loadbalancer.dispatch;

import java.util.ArrayDeque;
import java.util.function.LongConsumer;

/**
 * Delivers events to the policy one at a time. A policy is not re-entrant, so events that are submitted while it
 * handles another event, or while its actions are executed, are queued. Used on the event loop's thread only.
 */
final class PolicyEventQueue {
    private final MonotonicClock clock;
    private final DispatchStatistics statistics;
    private final ArrayDeque<LongConsumer> waiting = new ArrayDeque<>();
    private boolean delivering;
    private boolean closed;

    PolicyEventQueue(MonotonicClock clock, DispatchStatistics statistics) {
        this.clock = clock;
        this.statistics = statistics;
    }

    /**
     * Delivers {@code event}, immediately or after the events before it.
     *
     * @param event receives the time of its delivery in microseconds
     */
    void submit(LongConsumer event) {
        if (closed) {
            return;
        }
        waiting.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (LongConsumer next = waiting.poll(); next != null; next = waiting.poll()) {
                deliver(next);
            }
        } finally {
            delivering = false;
        }
    }

    private void deliver(LongConsumer event) {
        try {
            event.accept(clock.nowMicros());
        } catch (RuntimeException e) {
            // An exception in one event must not end the process. Requests that it leaves open get a last-resort
            // response.
            statistics.countException(e);
        }
    }

    /** Drops all events that are submitted after this call. */
    void close() {
        closed = true;
    }
}
