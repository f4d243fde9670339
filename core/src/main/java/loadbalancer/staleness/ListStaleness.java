package loadbalancer.staleness;

/**
 * When what discovery has to say counts as told, whether or not it has come, and how long a source that says nothing
 * may be waited for. A drain binds from the moment at which it counts as told: a list that comes late, over a watch
 * that had to be opened anew, does not begin the grace anew.
 *
 * <p>Pure: the caller brings the time. All times are in µs.
 */
public final class ListStaleness {
    /** Between the empty lines of a watch on which nothing changes (the protocol page). */
    private static final long BEAT = 2_000_000;
    /** From the silence of a watch on: what it misses then counts as told (the standing terms). */
    private static final long SILENT = 6_000_000;
    /** From a new configuration on: what the discovery that it names has to say then counts as told. */
    private static final long MOVED = 4_000_000;
    /** That a call may take which fails by waiting, and the pause before the next; that before it is in the margin. */
    private static final long TRY = 2_750_000;

    private final boolean pushed;
    private long grace;
    private long pollIntervalMicros;
    private long due = Long.MAX_VALUE; // when what has been missed counts as told

    /**
     * Where lists are pushed, what there is counts as told at once, also before a watch is open.
     *
     * @param grace how long after a drain was told requests may still be sent
     * @param pollIntervalMicros for how long the list of a balancer without a watch holds
     */
    public ListStaleness(boolean pushed, long grace, long pollIntervalMicros) {
        this.pushed = pushed;
        limits(grace, pollIntervalMicros);
    }

    /** Goes by other settings from here on. */
    public void limits(long newGrace, long newAskWithin) {
        grace = newGrace;
        pollIntervalMicros = newAskWithin;
    }

    /**
     * How long a watch may say nothing before it is opened anew. What it misses has to be here when the grace is over
     * that began without it, also if the first try to get it fails: so the shorter the grace, the less. A beat and a
     * half at least, for one line may be late; two and a quarter at most, for nothing is gained by waiting on.
     */
    public long patience() {
        return Math.max(BEAT + BEAT / 2, Math.min(2 * BEAT + BEAT / 4, SILENT - TRY - BEAT / 4 + grace));
    }

    /**
     * How long a call may go unanswered before it is tried anew. Where lists are pushed what an agent gets when it is
     * back counts at once, so a call that hangs must not cost more than half of a grace.
     */
    public long answerWithin() {
        return pushed ? Math.max(BEAT / 4, Math.min(patience(), grace / 2)) : patience();
    }

    /**
     * How long a process that has started waits for the first answer before it says that it is ready. A beat and a
     * half: whoever is there has said something by then, and it is half of the 6 s after which a process has to be
     * ready at the latest (the standing terms). The other half is for its own start on a slow core.
     */
    public long startWithin() {
        return BEAT + BEAT / 2;
    }

    /**
     * The process has started with a list that may be old. Where lists are pushed what its agent has counted as told
     * before the process could look at a clock: no grace is left of what the first list says.
     */
    public void started(long now) {
        if (pushed) {
            miss(0);
        } else {
            unwatched(now);
        }
    }

    /** The watch has ended for all to see. */
    public void unwatched(long now) {
        miss(now + (pushed ? 0 : Math.min(pollIntervalMicros, SILENT)));
    }

    /** The watch has said nothing since then. */
    public void silentSince(long heard) {
        miss(heard + SILENT);
    }

    /** Another discovery is to be gone by, since now. */
    public void moved(long now) {
        miss(now + MOVED);
    }

    private void miss(long countsAt) {
        due = Math.min(due, countsAt);
    }

    /** A list has come over the present watch, so nothing is missed any more; returns when its news counted as told. */
    public long told(long now) {
        long at = Math.min(now, due);
        due = Long.MAX_VALUE;
        return at;
    }
}
