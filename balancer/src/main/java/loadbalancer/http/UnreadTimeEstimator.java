package loadbalancer.http;

import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import io.netty.util.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Estimates for how long what is read now may have lain unread: the loop asks the system for what has arrived once a
 * round, and what it reads in a round had not arrived by the round before. A client's time runs from when it sent, so
 * where rounds are long its deadline is nearer than its request says. Belongs to one event loop and its thread.
 */
public final class UnreadTimeEstimator implements SelectStrategyFactory, SelectStrategy {
    private final LongSupplier nanoClock;
    private long previousPollNanos; // nothing of what this round reads had arrived by then
    private long pollNanos;
    private boolean selected; // this round began with nothing to read, and waited
    private boolean readInRound;

    /** Creates an estimator; {@code nanoClock} gives nanoseconds. */
    public UnreadTimeEstimator(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        previousPollNanos = nanoClock.getAsLong();
        pollNanos = previousPollNanos;
    }

    @Override
    public SelectStrategy newSelectStrategy() {
        return this;
    }

    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        int ready = selectNow.get();
        previousPollNanos = pollNanos;
        pollNanos = nanoClock.getAsLong();
        selected = ready == 0;
        readInRound = false;
        return ready > 0 || hasTasks ? ready : SelectStrategy.SELECT;
    }

    /** Returns the longest that what is being read now may have lain unread, in microseconds. */
    public long unreadMicros() {
        long nowNanos = nanoClock.getAsLong();
        if (selected && !readInRound) {
            readInRound = true; // it has arrived just now, and has ended the wait
            pollNanos = nowNanos;
        }
        return (nowNanos - (selected ? pollNanos : previousPollNanos)) / 1000;
    }
}
