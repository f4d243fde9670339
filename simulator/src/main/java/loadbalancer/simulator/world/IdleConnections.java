package loadbalancer.simulator.world;

import java.util.Arrays;

/** A balancer's connections at rest to one upstream, the latest used on top. */
final class IdleConnections {
    private long[] releasedAt = new long[4];
    private int idle;

    /** Takes one that has rested less than {@code maxIdleMicros}; false where there is none. */
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

    /** Closes those that have rested too long: the oldest are at the bottom. */
    void expire(Upstream upstream, long now, long maxIdleMicros) {
        int expired = 0;
        while (expired < idle && now - releasedAt[expired] >= maxIdleMicros) {
            expired++;
        }
        if (expired > 0) {
            System.arraycopy(releasedAt, expired, releasedAt, 0, idle - expired);
            idle -= expired;
            upstream.connected(-expired);
        }
    }

    void closeAll(Upstream upstream) {
        upstream.connected(-idle);
        idle = 0;
    }
}
