package loadbalancer.http;

import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import io.netty.util.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Estimates how long the data that is being read may have waited in the socket's buffer, at most. A client counts its
 * deadline from when it sent the request, so after a long iteration of the event loop less time is left than the
 * request declares.
 *
 * <p>The event loop polls for readable sockets once in each iteration, so data that is read in one iteration had not
 * arrived at the poll of the iteration before. Belongs to one event loop and is used on its thread only.
 */
public final class UnreadTimeEstimator implements SelectStrategyFactory, SelectStrategy {
    private final LongSupplier nanoClock;
    private long previousPollNanos; // the data that this iteration reads arrived after this time
    private long currentPollNanos;
    private boolean waitedInSelect; // this iteration started with no data to read
    private boolean readInIteration;

    /** Creates an estimator; {@code nanoClock} returns nanoseconds. */
    public UnreadTimeEstimator(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        previousPollNanos = nanoClock.getAsLong();
        currentPollNanos = previousPollNanos;
    }

    @Override
    public SelectStrategy newSelectStrategy() {
        return this;
    }

    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        int ready = selectNow.get();
        previousPollNanos = currentPollNanos;
        currentPollNanos = nanoClock.getAsLong();
        waitedInSelect = ready == 0;
        readInIteration = false;
        return ready > 0 || hasTasks ? ready : SelectStrategy.SELECT;
    }

    /** Returns how long the data that is being read may have waited in the socket's buffer, at most. */
    public long estimateUnreadMicros() {
        long nowNanos = nanoClock.getAsLong();
        if (waitedInSelect && !readInIteration) {
            readInIteration = true; // the first data has just arrived and ended the wait in select
            currentPollNanos = nowNanos;
        }
        return (nowNanos - (waitedInSelect ? currentPollNanos : previousPollNanos)) / 1000;
    }
}
