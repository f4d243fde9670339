package loadbalancer.simulator.world;

import java.util.Arrays;

/** A balancer's connections at rest to one upstream, the latest used on top. */
final class IdleConnections {
    private long[] since = new long[4];
    private int idle;

    /** Takes one that has rested less than {@code most}; false where there is none. */
    boolean take(Upstream upstream, long now, long most) {
        expire(upstream, now, most);
        if (idle == 0) {
            return false;
        }
        idle--;
        return true;
    }

    void rest(long now) {
        if (idle == since.length) {
            since = Arrays.copyOf(since, 2 * idle);
        }
        since[idle++] = now;
    }

    /** Closes those that have rested too long: the oldest are at the bottom. */
    void expire(Upstream upstream, long now, long most) {
        int old = 0;
        while (old < idle && now - since[old] >= most) {
            old++;
        }
        if (old > 0) {
            System.arraycopy(since, old, since, 0, idle - old);
            idle -= old;
            upstream.connected(-old);
        }
    }

    void closeAll(Upstream upstream) {
        upstream.connected(-idle);
        idle = 0;
    }
}
