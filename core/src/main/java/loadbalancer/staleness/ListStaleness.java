package loadbalancer.staleness;

/**
 * Decides when a change of the endpoint list counts as notified, whether or not it has arrived, and how long a silent
 * discovery is waited for. A drain binds from the moment at which it counts as notified: a list that arrives late, over
 * a watch that had to be opened again, does not begin the drain grace period again.
 *
 * <p>Pure: the caller brings the time. All times are in µs of the caller's clock. Not thread-safe.
 */
public final class ListStaleness {
    /** Between the empty lines of a watch on which nothing changes. */
    private static final long HEARTBEAT_INTERVAL_MICROS = 2_000_000;
    /** From the last sign of life of a watch on, until what it misses counts as notified. */
    private static final long SILENCE_ALLOWANCE_MICROS = 6_000_000;
    /** From a new configuration on, until what the discovery that it names has to say counts as notified. */
    private static final long DISCOVERY_CHANGE_ALLOWANCE_MICROS = 4_000_000;
    /** What a call that fails by its timeout takes, with the pause before the next one. */
    private static final long FAILED_CALL_MICROS = 2_750_000;

    private static final long NEVER = Long.MAX_VALUE;

    private final boolean pushed;
    private long drainGracePeriodMicros;
    private long pollIntervalMicros;
    private long missedNotifiedAt = NEVER; // when what has been missed counts as notified

    /**
     * Begins with nothing missed.
     *
     * @param pushed whether lists are pushed: what there is counts as notified at once then, also without a watch
     * @param drainGracePeriodMicros how long after the notification of a drain requests may still be sent
     * @param pollIntervalMicros for how long the list of a balancer without a watch holds
     */
    public ListStaleness(boolean pushed, long drainGracePeriodMicros, long pollIntervalMicros) {
        this.pushed = pushed;
        reconfigure(drainGracePeriodMicros, pollIntervalMicros);
    }

    /** Goes by other settings from here on. */
    public void reconfigure(long newDrainGracePeriodMicros, long newPollIntervalMicros) {
        drainGracePeriodMicros = newDrainGracePeriodMicros;
        pollIntervalMicros = newPollIntervalMicros;
    }

    /**
     * Returns how long a watch may be silent before it is opened again, in µs. What it misses has to be here when the
     * grace period is over that began without it, also where the first call for it fails: so the shorter the grace
     * period, the less. One and a half heartbeats at least, for one may be late; two and a quarter at most, for nothing
     * is gained by waiting longer.
     */
    public long watchIdleTimeoutMicros() {
        long leastMicros = HEARTBEAT_INTERVAL_MICROS + HEARTBEAT_INTERVAL_MICROS / 2;
        long mostMicros = 2 * HEARTBEAT_INTERVAL_MICROS + HEARTBEAT_INTERVAL_MICROS / 4;
        long inTimeMicros =
                SILENCE_ALLOWANCE_MICROS - FAILED_CALL_MICROS - HEARTBEAT_INTERVAL_MICROS / 4 + drainGracePeriodMicros;
        return Math.max(leastMicros, Math.min(mostMicros, inTimeMicros));
    }

    /**
     * Returns how long a call may go unanswered before it is made again, in µs. Where lists are pushed, what an agent
     * learns when it is back counts at once, so a call that hangs must not take more than half of a grace period.
     */
    public long responseTimeoutMicros() {
        long idleTimeoutMicros = watchIdleTimeoutMicros();
        return pushed
                ? Math.max(HEARTBEAT_INTERVAL_MICROS / 4, Math.min(idleTimeoutMicros, drainGracePeriodMicros / 2))
                : idleTimeoutMicros;
    }

    /**
     * Returns how long a process that has started waits for the first response before it is ready without one, in µs.
     * One and a half heartbeats: a discovery that is there has sent something by then, and it is half of the 6 s after
     * which a process has to be ready. The other half is for the start of the process itself.
     */
    public long startupTimeoutMicros() {
        return HEARTBEAT_INTERVAL_MICROS + HEARTBEAT_INTERVAL_MICROS / 2;
    }

    /**
     * The process has started with a list that may be out of date. Where lists are pushed, what its agent has counted
     * as notified before the process could look at a clock: no grace period is left of what the first list says.
     */
    public void started(long nowMicros) {
        if (pushed) {
            missedFrom(0);
        } else {
            watchEnded(nowMicros);
        }
    }

    /** The watch has ended in a way that both sides see. */
    public void watchEnded(long nowMicros) {
        missedFrom(nowMicros + (pushed ? 0 : Math.min(pollIntervalMicros, SILENCE_ALLOWANCE_MICROS)));
    }

    /** The watch has been silent since then. */
    public void watchSilentSince(long lastReadMicros) {
        missedFrom(lastReadMicros + SILENCE_ALLOWANCE_MICROS);
    }

    /** Another discovery is in use since then. */
    public void discoveryChanged(long nowMicros) {
        missedFrom(nowMicros + DISCOVERY_CHANGE_ALLOWANCE_MICROS);
    }

    private void missedFrom(long notifiedAtMicros) {
        missedNotifiedAt = Math.min(missedNotifiedAt, notifiedAtMicros);
    }

    /**
     * A list has arrived over the present watch, so nothing is missed any more.
     *
     * @return when its changes counted as notified, in µs
     */
    public long listArrived(long nowMicros) {
        long notifiedAtMicros = Math.min(nowMicros, missedNotifiedAt);
        missedNotifiedAt = NEVER;
        return notifiedAtMicros;
    }
}
