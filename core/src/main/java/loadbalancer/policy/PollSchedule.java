package loadbalancer.policy;

import java.util.SplittableRandom;

/** When a balancer subscribes to discovery again: after calls that failed, and where nothing answers. Times in µs. */
final class PollSchedule {
    // After a call that failed, by half as much more or less: a change counts as told 6 s after discovery can be
    // reached again. Two pauses fit in, and between them a call that fails by waiting for 2 s.
    private static final long PAUSE_MOST = 1_300_000;
    private static final long PAUSE_FIRST = 250_000; // after a watch that worked; doubles each time
    private static final int DOUBLINGS = 4;

    private final SplittableRandom random;
    private long dueAt = Long.MAX_VALUE;
    private int failures;

    PollSchedule(SplittableRandom random) {
        this.random = random;
    }

    /** Whether it is time to subscribe. */
    boolean due(long now) {
        return now >= dueAt;
    }

    /** Subscribed just now; it is due again well within {@code pollIntervalMicros} unless something answers. */
    void asked(long now, long pollIntervalMicros) {
        dueAt = now + pollIntervalMicros / 2 + random.nextLong(1 + pollIntervalMicros / 8);
    }

    /** A call failed; returns how many have failed in a row. */
    int failed(long now, long pollIntervalMicros) {
        long pause =
                Math.min(Math.min(pollIntervalMicros / 2, PAUSE_MOST), PAUSE_FIRST << Math.min(DOUBLINGS, failures++));
        dueAt = Math.min(dueAt, now + pause / 2 + random.nextLong(Math.max(1, pause)));
        return failures;
    }

    /** Discovery has answered: nothing is to be asked. */
    void answered() {
        failures = 0;
        dueAt = Long.MAX_VALUE;
    }
}
