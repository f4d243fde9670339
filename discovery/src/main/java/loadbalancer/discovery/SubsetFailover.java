package loadbalancer.discovery;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Polls the complete list, and changes to another part of it, for as long as a balancer keeps a part in which no
 * endpoint may be sent to. Paced, and less often the longer it lasts: complete lists are expensive, and all balancers
 * of a part need one at the same time. Belongs to the event loop's thread.
 */
public final class SubsetFailover {
    private static final long INITIAL_BACKOFF_MILLIS = 250;
    private static final int MAX_DOUBLINGS = 5; // up to 8 s
    private static final int JITTER_STEPS = 1024; // a power of 2

    private final EventLoop loop;
    private final Membership membership;
    private final DiscoveryClient client;
    private final long jitter; // in steps, so that balancers of one part do not poll at the same time
    private Future<?> nextPoll;
    private int polls;

    /**
     * Creates it for that membership, from which it hears of changes.
     *
     * @param seed the balancer's own, for the jitter
     */
    public SubsetFailover(EventLoop loop, Membership membership, DiscoveryClient client, long seed) {
        this.loop = loop;
        this.membership = membership;
        this.client = client;
        this.jitter = seed & JITTER_STEPS - 1;
        membership.onUpdate(this::schedulePollIfNeeded);
    }

    private void schedulePollIfNeeded() {
        if (!membership.needsOtherSubset()) {
            polls = 0;
        } else if (nextPoll == null) {
            long backoffMillis = INITIAL_BACKOFF_MILLIS << Math.min(MAX_DOUBLINGS, polls++);
            nextPoll = loop.schedule(
                    this::poll, backoffMillis + backoffMillis * jitter / JITTER_STEPS, TimeUnit.MILLISECONDS);
        }
    }

    private void poll() {
        nextPoll = null;
        if (membership.needsOtherSubset()) {
            membership.subset().changeToNextSubset();
            client.poll();
            schedulePollIfNeeded(); // also where no response comes
        }
    }
}
