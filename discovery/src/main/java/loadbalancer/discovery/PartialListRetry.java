package loadbalancer.discovery;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Asks for the whole list, and takes another part of it, for as long as a balancer holds a part in which nothing may be
 * sent to. Paced, and less often the longer it lasts: whole lists are dear, and all balancers of a part are in the same
 * position at once. On the event loop's thread.
 */
public final class PartialListRetry {
    private static final long FIRST_MS = 250;
    private static final int DOUBLINGS = 5; // up to 8 s

    private final EventLoop loop;
    private final Membership membership;
    private final DiscoveryClient client;
    private final long spread; // so that balancers of one part don't ask at once, below 1024
    private Future<?> next;
    private int asked;

    /**
     * Looks after that membership.
     *
     * @param seed the balancer's own
     */
    public PartialListRetry(EventLoop loop, Membership membership, DiscoveryClient client, long seed) {
        this.loop = loop;
        this.membership = membership;
        this.client = client;
        this.spread = seed & 1023;
        membership.onNews(this::look);
    }

    private void look() {
        if (!membership.barren()) {
            asked = 0;
        } else if (next == null) {
            long pause = FIRST_MS << Math.min(DOUBLINGS, asked++);
            next = loop.schedule(this::ask, pause + pause * spread / 1024, TimeUnit.MILLISECONDS);
        }
    }

    private void ask() {
        next = null;
        if (membership.barren()) {
            membership.holding().seekNext();
            client.fetch();
            look(); // also where no answer comes
        }
    }
}
