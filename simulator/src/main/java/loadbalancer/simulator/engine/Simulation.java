package loadbalancer.simulator.engine;

import java.util.Arrays;

/**
 * A discrete-event simulation in whole microseconds. Events at one instant happen in the order in which they were
 * scheduled, so a run is a pure function of what is scheduled. One object belongs to one thread.
 *
 * <p>The calendar is a 4-ary heap over parallel arrays: a node's children share a cache line, and an event without
 * a handle costs no object but itself.
 */
public final class Simulation {
    private static final int WAYS = 4;
    private static final int SMALL = 1024;

    private long[] times = new long[SMALL];
    private long[] orders = new long[SMALL];
    private Event[] events = new Event[SMALL];
    private int size;
    private int cancelled;
    private long now;
    private long scheduled;
    private long fired;

    /** A scheduled event that can be called off. */
    public final class Timer implements Event {
        private Event event;
        private final long at;

        private Timer(long at, Event event) {
            this.at = at;
            this.event = event;
        }

        /** Calls the event off; no effect once it has begun to fire, so an event may cancel its own timer. */
        public void cancel() {
            if (event != null) {
                event = null;
                cancelled++;
                compact();
            }
        }

        /** True until it fires or is called off. */
        public boolean pending() {
            return event != null;
        }

        /** When it is due, in µs. */
        public long due() {
            return at;
        }

        @Override
        public void fire(long time) {
            if (event == null) {
                cancelled--;
                return;
            }
            Event due = event;
            event = null;
            due.fire(time);
        }
    }

    /** Simulated time, in µs. */
    public long now() {
        return now;
    }

    /** Events that have happened so far, those called off included. */
    public long fired() {
        return fired;
    }

    /** Events that wait, those called off included. */
    public int waiting() {
        return size;
    }

    /**
     * Schedules an event.
     *
     * @param time in µs, not before {@link #now}
     * @throws IllegalArgumentException for a time that has passed
     */
    public void at(long time, Event event) {
        if (time < now) {
            throw new IllegalArgumentException("time " + time + " has passed, it is " + now);
        }
        if (size == times.length) {
            times = Arrays.copyOf(times, 2 * size);
            orders = Arrays.copyOf(orders, 2 * size);
            events = Arrays.copyOf(events, 2 * size);
        }
        up(size++, time, scheduled++, event);
    }

    /** Schedules an event {@code delay} µs from now. */
    public void after(long delay, Event event) {
        at(now + delay, event);
    }

    /** Schedules an event that can be called off. */
    public Timer timer(long time, Event event) {
        Timer timer = new Timer(time, event);
        at(time, timer);
        return timer;
    }

    /** Lets the next event happen; false where none waits. */
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
            down(0, times[size], orders[size], last);
        }
        fired++;
        event.fire(now);
        return true;
    }

    /** Runs through {@code time}; events at that instant happen too. */
    public void runUntil(long time) {
        while (size > 0 && times[0] <= time) {
            step();
        }
        now = Math.max(now, time);
    }

    private void up(int from, long time, long order, Event event) {
        int index = from;
        while (index > 0) {
            int parent = (index - 1) / WAYS;
            if (times[parent] < time || times[parent] == time && orders[parent] < order) {
                break;
            }
            move(parent, index);
            index = parent;
        }
        put(index, time, order, event);
    }

    private void down(int from, long time, long order, Event event) {
        int index = from;
        while (true) {
            int first = WAYS * index + 1;
            if (first >= size) {
                break;
            }
            int least = first;
            for (int c = first + 1; c < Math.min(first + WAYS, size); c++) {
                if (times[c] < times[least] || times[c] == times[least] && orders[c] < orders[least]) {
                    least = c;
                }
            }
            if (time < times[least] || time == times[least] && order < orders[least]) {
                break;
            }
            move(least, index);
            index = least;
        }
        put(index, time, order, event);
    }

    private void move(int from, int to) {
        times[to] = times[from];
        orders[to] = orders[from];
        events[to] = events[from];
    }

    private void put(int index, long time, long order, Event event) {
        times[index] = time;
        orders[index] = order;
        events[index] = event;
    }

    // Timers are called off far more often than they fire: without this the calendar would grow with the
    // requests of the last deadline, not with those that are open.
    private void compact() {
        if (size < SMALL || cancelled <= size / 2) {
            return;
        }
        int kept = 0;
        for (int index = 0; index < size; index++) {
            if (!(events[index] instanceof Timer t) || t.pending()) {
                move(index, kept++);
            }
        }
        Arrays.fill(events, kept, size, null);
        size = kept;
        cancelled = 0;
        for (int index = (size - 2) / WAYS; index >= 0 && size > 1; index--) {
            down(index, times[index], orders[index], events[index]);
        }
    }
}
