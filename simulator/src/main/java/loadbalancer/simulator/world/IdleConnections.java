package loadbalancer.simulator.world;

import java.util.Arrays;

/** A balancer's idle connections to one upstream, as a stack with the most recently used on top. */
final class IdleConnections {
    private long[] releasedAt = new long[4];
    private int idle;

    /** Takes a connection that has been idle for less than {@code maxIdleMicros}; false if there is none. */
    boolean take(Upstream upstream, long now, long maxIdleMicros) {
        expire(upstream, now, maxIdleMicros);
        if (idle == 0) {
            return false;
        }
        idle--;
        return true;
    }

    void release(long now) {
        if (idle == releasedAt.length) {
            releasedAt = Arrays.copyOf(releasedAt, 2 * idle);
        }
        releasedAt[idle++] = now;
    }

    /** Closes connections that have been idle for {@code maxIdleMicros}; the oldest are at the bottom of the stack. */
    void expire(Upstream upstream, long now, long maxIdleMicros) {
        int expired = 0;
        while (expired < idle && now - releasedAt[expired] >= maxIdleMicros) {
            expired++;
        }
        if (expired > 0) {
            System.arraycopy(releasedAt, expired, releasedAt, 0, idle - expired);
            idle -= expired;
            upstream.addConnections(-expired);
        }
    }

    void closeAll(Upstream upstream) {
        upstream.addConnections(-idle);
        idle = 0;
    }
}
