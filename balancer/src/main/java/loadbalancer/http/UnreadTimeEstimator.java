package loadbalancer.http;

import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import io.netty.util.IntSupplier;
import java.util.function.LongSupplier;

/**
 * How long what is read now may have lain unread: the loop asks the system for what has come once a round, and what it
 * reads in a round had not come by the round before. A client's time runs from when it sent, so where rounds are long,
 * as on a slow core right after a start, that is less than what its request says. One loop's, and on its thread.
 */
public final class UnreadTimeEstimator implements SelectStrategyFactory, SelectStrategy {
    private final LongSupplier nanos;
    private long before; // when it was last known that nothing had come, a round ago
    private long polled; // the same for this round
    private boolean waited; // this round began with nothing to read
    private boolean read; // something has been read in this round

    public UnreadTimeEstimator(LongSupplier nanos) {
        this.nanos = nanos;
        before = nanos.getAsLong();
        polled = before;
    }

    @Override
    public SelectStrategy newSelectStrategy() {
        return this;
    }

    @Override
    public int calculateStrategy(IntSupplier poll, boolean hasTasks) throws Exception {
        int ready = poll.get();
        before = polled;
        polled = nanos.getAsLong();
        waited = ready == 0;
        read = false;
        return ready > 0 || hasTasks ? ready : SelectStrategy.SELECT;
    }

    /** The longest that what is being read now may have lain unread, in µs. */
    public long unread() {
        long now = nanos.getAsLong();
        if (waited && !read) {
            read = true; // it has come just now, and has ended the wait
            polled = now;
        }
        return (now - (waited ? polled : before)) / 1000;
    }
}
