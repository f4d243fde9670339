package loadbalancer.dispatch;

import java.util.ArrayDeque;
import java.util.function.LongConsumer;

/**
 * Gives the policy its events one at a time. A policy is not re-entrant: events that arise while it handles one, or
 * while its actions are carried out, wait for their turn. Belongs to the event loop's thread.
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

    /** Delivers {@code event}, now or after those before it; it is given the time of its delivery in microseconds. */
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
            // One event must not end the process; requests that it leaves open get their last-resort response.
            statistics.countFault(e);
        }
    }

    /** Delivers no event that is submitted from here on. */
    void close() {
        closed = true;
    }
}
