package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Determines when a balancer subscribes to discovery again: some time after a failed call, or after discovery has not
 * responded. The delays have jitter, so that the balancers of a fleet don't call at the same time.
 *
 * <p>The delay doubles up to a maximum. A change counts as notified 6 s after discovery can be reached again; two
 * maximum delays, with a call between them that times out after 2 s, fit into that time.
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

    /** Whether it is time to subscribe again. */
    boolean isDue(long now) {
        return now >= dueAt;
    }

    /** Records that the balancer subscribes. It is due again well within the interval unless discovery responds. */
    void recordPoll(long now, long pollIntervalMicros) {
        dueAt = now + pollIntervalMicros / 2 + random.nextLong(1 + pollIntervalMicros / 8);
    }

    /** Records a failed call and returns the number of failures in a row. */
    int recordFailure(long now, long pollIntervalMicros) {
        long maxBackoffMicros = Math.min(pollIntervalMicros / 2, MAX_BACKOFF_MICROS);
        long backoffMicros = Math.min(maxBackoffMicros, INITIAL_BACKOFF_MICROS << Math.min(MAX_DOUBLINGS, failures++));
        dueAt = Math.min(dueAt, now + backoffMicros / 2 + random.nextLong(Math.max(1, backoffMicros)));
        return failures;
    }

    /** Records a response of discovery: no poll is due. */
    void recordResponse() {
        failures = 0;
        dueAt = Long.MAX_VALUE;
    }
}
