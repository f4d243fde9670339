package loadbalancer.staleness;

/**
 * Determines when a change of the endpoint list counts as notified, whether or not it has arrived, and how long to wait
 * for a discovery that does not respond. The drain grace period of an endpoint begins when its drain counts as
 * notified. A list that arrives late, because the watch had to be reopened, does not restart it.
 *
 * <p>Pure: the caller passes the time. All times are in microseconds of the caller's clock. Not thread-safe.
 */
public final class ListStaleness {
    /** Interval of the empty lines that discovery sends over a watch while nothing changes. */
    private static final long HEARTBEAT_INTERVAL_MICROS = 2_000_000;
    /** Time from the last line of a watch until changes that the watch has missed count as notified. */
    private static final long SILENCE_ALLOWANCE_MICROS = 6_000_000;
    /** Time from a new configuration until the list of the discovery that it names counts as notified. */
    private static final long DISCOVERY_CHANGE_ALLOWANCE_MICROS = 4_000_000;
    /** Time that a call which times out takes, including the pause before the next one. */
    private static final long FAILED_CALL_MICROS = 2_750_000;

    private static final long NEVER = Long.MAX_VALUE;

    private final boolean pushed;
    private long drainGracePeriodMicros;
    private long pollIntervalMicros;
    private long missedNotifiedAtMicros = NEVER; // when missed changes count as notified

    /**
     * Creates an instance without missed changes.
     *
     * @param pushed whether lists are pushed; changes then count as notified at once, even without a watch
     * @param drainGracePeriodMicros how long requests may be sent to an endpoint after the notification of its drain
     * @param pollIntervalMicros how long a list stays valid without a watch
     */
    public ListStaleness(boolean pushed, long drainGracePeriodMicros, long pollIntervalMicros) {
        this.pushed = pushed;
        reconfigure(drainGracePeriodMicros, pollIntervalMicros);
    }

    /** Applies new settings from now on. */
    public void reconfigure(long newDrainGracePeriodMicros, long newPollIntervalMicros) {
        drainGracePeriodMicros = newDrainGracePeriodMicros;
        pollIntervalMicros = newPollIntervalMicros;
    }

    /**
     * Returns how long a watch may be silent before it is reopened, in microseconds. A drain that the watch misses must
     * arrive before the end of its grace period, even if the first call for it fails; so a short grace period requires
     * a short timeout. The timeout is at least one and a half heartbeat intervals, because a heartbeat may be late, and
     * at most two and a quarter, because a longer wait has no benefit.
     */
    public long watchIdleTimeoutMicros() {
        long minTimeoutMicros = HEARTBEAT_INTERVAL_MICROS + HEARTBEAT_INTERVAL_MICROS / 2;
        long maxTimeoutMicros = 2 * HEARTBEAT_INTERVAL_MICROS + HEARTBEAT_INTERVAL_MICROS / 4;
        long timelyTimeoutMicros =
                SILENCE_ALLOWANCE_MICROS - FAILED_CALL_MICROS - HEARTBEAT_INTERVAL_MICROS / 4 + drainGracePeriodMicros;
        return Math.max(minTimeoutMicros, Math.min(maxTimeoutMicros, timelyTimeoutMicros));
    }

    /**
     * Returns how long to wait for the response to a call before it is repeated, in microseconds. If lists are pushed,
     * changes that the agent learns of once it is reachable again count as notified at once, so a call that hangs must
     * not take more than half of a grace period.
     */
    public long responseTimeoutMicros() {
        long idleTimeoutMicros = watchIdleTimeoutMicros();
        return pushed
                ? Math.max(HEARTBEAT_INTERVAL_MICROS / 4, Math.min(idleTimeoutMicros, drainGracePeriodMicros / 2))
                : idleTimeoutMicros;
    }

    /**
     * Returns how long a process that has started waits for the first response before it becomes ready without one, in
     * microseconds. After one and a half heartbeat intervals a discovery that is available has sent something. This is
     * half of the 6 s within which a process must be ready; the other half is for the start of the process itself.
     */
    public long startupTimeoutMicros() {
        return HEARTBEAT_INTERVAL_MICROS + HEARTBEAT_INTERVAL_MICROS / 2;
    }

    /**
     * Records that the process has started with a list that may be out of date. If lists are pushed, changes may have
     * counted as notified before the process could read a clock, so the first list leaves no grace period.
     */
    public void started(long nowMicros) {
        if (pushed) {
            changesMissed(0);
        } else {
            watchEnded(nowMicros);
        }
    }

    /** Records that the watch has ended in a way that both sides notice. */
    public void watchEnded(long nowMicros) {
        changesMissed(nowMicros + (pushed ? 0 : Math.min(pollIntervalMicros, SILENCE_ALLOWANCE_MICROS)));
    }

    /** Records that the watch has been silent since {@code lastReadMicros}. */
    public void watchSilentSince(long lastReadMicros) {
        changesMissed(lastReadMicros + SILENCE_ALLOWANCE_MICROS);
    }

    /** Records that another discovery is used from {@code nowMicros} on. */
    public void discoveryChanged(long nowMicros) {
        changesMissed(nowMicros + DISCOVERY_CHANGE_ALLOWANCE_MICROS);
    }

    private void changesMissed(long notifiedAtMicros) {
        missedNotifiedAtMicros = Math.min(missedNotifiedAtMicros, notifiedAtMicros);
    }

    /**
     * Records that a list has arrived over the current watch, so that no changes are missed any more.
     *
     * @return when the changes of the list count as notified, in microseconds
     */
    public long listArrived(long nowMicros) {
        long notifiedAtMicros = Math.min(nowMicros, missedNotifiedAtMicros);
        missedNotifiedAtMicros = NEVER;
        return notifiedAtMicros;
    }
}
