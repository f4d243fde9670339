package loadbalancer.discovery;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Changes to another subset of the endpoint list, and polls the complete list for it, while no endpoint of the kept
 * subset is usable. It polls with an exponential backoff and jitter, as complete lists are expensive and all balancers
 * of a subset need one at the same time. Confined to the event loop's thread.
 */
public final class SubsetFailover {
    private static final long INITIAL_BACKOFF_MILLIS = 250;
    private static final int MAX_DOUBLINGS = 5; // a backoff of up to 8 s
    private static final int JITTER_STEPS = 1024; // must be a power of 2

    private final EventLoop loop;
    private final Membership membership;
    private final DiscoveryClient client;
    private final long jitterSteps; // keeps balancers of one subset from polling at the same time
    private Future<?> nextPoll;
    private int pollCount; // since an endpoint was last usable

    /**
     * Starts to listen to the updates of a membership.
     *
     * @param seed the balancer's own seed, from which its jitter is taken
     */
    public SubsetFailover(EventLoop loop, Membership membership, DiscoveryClient client, long seed) {
        this.loop = loop;
        this.membership = membership;
        this.client = client;
        this.jitterSteps = seed & JITTER_STEPS - 1;
        membership.onUpdate(this::schedulePollIfNeeded);
    }

    private void schedulePollIfNeeded() {
        if (!membership.needsOtherSubset()) {
            pollCount = 0;
        } else if (nextPoll == null) {
            long backoffMillis = INITIAL_BACKOFF_MILLIS << Math.min(MAX_DOUBLINGS, pollCount++);
            nextPoll = loop.schedule(
                    this::poll, backoffMillis + backoffMillis * jitterSteps / JITTER_STEPS, TimeUnit.MILLISECONDS);
        }
    }

    private void poll() {
        nextPoll = null;
        if (membership.needsOtherSubset()) {
            membership.subset().changeToNextSubset();
            client.poll();
            schedulePollIfNeeded(); // without waiting for a response, which may never arrive
        }
    }
}
