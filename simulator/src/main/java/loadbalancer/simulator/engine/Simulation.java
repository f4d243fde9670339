package loadbalancer.simulator.engine;

import java.util.Arrays;

/**
 * A discrete-event simulation in whole microseconds. Events at the same time run in the order in which they were
 * scheduled, so a run is deterministic. Not thread-safe.
 *
 * <p>The event queue is a 4-ary heap over parallel arrays: the children of a node share a cache line, and an event
 * without a {@link Timer} needs no object besides itself.
 */
public final class Simulation {
    private static final int HEAP_ARITY = 4;
    private static final int INITIAL_CAPACITY = 1024;

    private long[] times = new long[INITIAL_CAPACITY];
    private long[] sequences = new long[INITIAL_CAPACITY];
    private Event[] events = new Event[INITIAL_CAPACITY];
    private int size;
    private int cancelledCount;
    private long now;
    private long scheduledCount;
    private long firedCount;

    /** A scheduled event that can be cancelled. */
    public final class Timer implements Event {
        private Event event;
        private final long dueMicros;

        private Timer(long dueMicros, Event event) {
            this.dueMicros = dueMicros;
            this.event = event;
        }

        /** Cancels the event. Has no effect once the event has begun to run, so an event may cancel its own timer. */
        public void cancel() {
            if (event != null) {
                event = null;
                cancelledCount++;
                compact();
            }
        }

        /** True until the event runs or is cancelled. */
        public boolean pending() {
            return event != null;
        }

        /** Time at which the event is due, in µs. */
        public long due() {
            return dueMicros;
        }

        @Override
        public void fire(long time) {
            if (event == null) {
                cancelledCount--;
                return;
            }
            Event due = event;
            event = null;
            due.fire(time);
        }
    }

    /** Current simulated time, in µs. */
    public long now() {
        return now;
    }

    /** Number of events processed so far, including cancelled ones. */
    public long fired() {
        return firedCount;
    }

    /** Number of events in the queue, including cancelled ones that have not been removed yet. */
    public int waiting() {
        return size;
    }

    /**
     * Schedules an event.
     *
     * @param time in µs, not before {@link #now}
     * @throws IllegalArgumentException if {@code time} is before {@link #now}
     */
    public void at(long time, Event event) {
        if (time < now) {
            throw new IllegalArgumentException(
                    "event time " + time + " us is before the current simulated time, " + now + " us");
        }
        if (size == times.length) {
            times = Arrays.copyOf(times, 2 * size);
            sequences = Arrays.copyOf(sequences, 2 * size);
            events = Arrays.copyOf(events, 2 * size);
        }
        siftUp(size++, time, scheduledCount++, event);
    }

    /** Schedules an event {@code delay} µs from now. */
    public void after(long delay, Event event) {
        at(now + delay, event);
    }

    /** Schedules an event that can be cancelled. */
    public Timer timer(long time, Event event) {
        Timer timer = new Timer(time, event);
        at(time, timer);
        return timer;
    }

    /** Runs the next event; returns false if the queue is empty. */
    public boolean step() {
        if (size == 0) {
            return false;
        }
        now = times[0];
        Event event = events[0];
        size--;
        Event last = events[size];
        events[size] = null;
        if (size > 0) {
            siftDown(0, times[size], sequences[size], last);
        }
        firedCount++;
        event.fire(now);
        return true;
    }

    /** Runs all events up to and including {@code time}. */
    public void runUntil(long time) {
        while (size > 0 && times[0] <= time) {
            step();
        }
        now = Math.max(now, time);
    }

    private void siftUp(int from, long time, long sequence, Event event) {
        int index = from;
        while (index > 0) {
            int parent = (index - 1) / HEAP_ARITY;
            if (times[parent] < time || times[parent] == time && sequences[parent] < sequence) {
                break;
            }
            moveEntry(parent, index);
            index = parent;
        }
        setEntry(index, time, sequence, event);
    }

    private void siftDown(int from, long time, long sequence, Event event) {
        int index = from;
        while (true) {
            int firstChild = HEAP_ARITY * index + 1;
            if (firstChild >= size) {
                break;
            }
            int smallest = firstChild;
            for (int child = firstChild + 1; child < Math.min(firstChild + HEAP_ARITY, size); child++) {
                if (times[child] < times[smallest]
                        || times[child] == times[smallest] && sequences[child] < sequences[smallest]) {
                    smallest = child;
                }
            }
            if (time < times[smallest] || time == times[smallest] && sequence < sequences[smallest]) {
                break;
            }
            moveEntry(smallest, index);
            index = smallest;
        }
        setEntry(index, time, sequence, event);
    }

    private void moveEntry(int from, int to) {
        times[to] = times[from];
        sequences[to] = sequences[from];
        events[to] = events[from];
    }

    private void setEntry(int index, long time, long sequence, Event event) {
        times[index] = time;
        sequences[index] = sequence;
        events[index] = event;
    }

    // Removes cancelled timers once they are over half of the queue. Most timers are cancelled long before they would
    // fire. If they stayed until then, the queue would hold a timer for each recent request, not only for the open
    // ones.
    private void compact() {
        if (size < INITIAL_CAPACITY || cancelledCount <= size / 2) {
            return;
        }
        int kept = 0;
        for (int index = 0; index < size; index++) {
            if (!(events[index] instanceof Timer timer) || timer.pending()) {
                moveEntry(index, kept++);
            }
        }
        Arrays.fill(events, kept, size, null);
        size = kept;
        cancelledCount = 0;
        for (int index = (size - 2) / HEAP_ARITY; index >= 0 && size > 1; index--) {
            siftDown(index, times[index], sequences[index], events[index]);
        }
    }
}
