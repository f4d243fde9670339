package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * When a balancer subscribes to discovery again: some time after a call that failed, and where nothing answers. Times
 * are jittered, so that the balancers of a fleet don't call together.
 *
 * <p>The delay doubles up to a bound that leaves room for two of them, with a call between them that fails by waiting
 * for 2 s, in the 6 s after which a change counts as notified once discovery can be reached again.
 */
final class PollSchedule {
    private static final long MAX_BACKOFF_MICROS = 1_300_000;
    private static final long INITIAL_BACKOFF_MICROS = 250_000;
    private static final int MAX_DOUBLINGS = 4;

    private final SplittableRandom random;
    private long dueAt = Long.MAX_VALUE;
    private int failures;

    PollSchedule(SplittableRandom random) {
        this.random = random;
    }

    /** Whether it is time to subscribe. */
    boolean isDue(long now) {
        return now >= dueAt;
    }

    /** Records that the balancer subscribes: due again well within the interval, unless something answers. */
    void polled(long now, long pollIntervalMicros) {
        dueAt = now + pollIntervalMicros / 2 + random.nextLong(1 + pollIntervalMicros / 8);
    }

    /** Records a call that failed; returns how many have failed in a row. */
    int pollFailed(long now, long pollIntervalMicros) {
        long maxBackoff = Math.min(pollIntervalMicros / 2, MAX_BACKOFF_MICROS);
        long backoff = Math.min(maxBackoff, INITIAL_BACKOFF_MICROS << Math.min(MAX_DOUBLINGS, failures++));
        dueAt = Math.min(dueAt, now + backoff / 2 + random.nextLong(Math.max(1, backoff)));
        return failures;
    }

    /** Records an answer of discovery: nothing is due. */
    void answered() {
        failures = 0;
        dueAt = Long.MAX_VALUE;
    }
}
