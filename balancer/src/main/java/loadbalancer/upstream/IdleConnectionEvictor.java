package loadbalancer.upstream;

import java.util.Collection;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes idle connections well before their upstreams do: a request written to a connection that is being closed is
 * reset, and as it may have run most classes can't be sent again. Also forgets endpoints that have long been gone.
 * Belongs to the event loop's thread.
 */
final class IdleConnectionEvictor {
    private static final long FORGET_AFTER_MICROS = 60_000_000; // since the drain deadline
    private static final long MIN_PERIOD_MICROS = 10_000;
    private static final long MAX_PERIOD_MICROS = 1_000_000;
    private static final int PERIODS_PER_IDLE_TIMEOUT = 10;

    private final Collection<UpstreamEndpoint> endpoints;
    private final UpstreamConnector connector;
    private final Future<?> schedule;

    /** Creates an evictor for {@code endpoints}, a view of the pool's table, and starts it. */
    IdleConnectionEvictor(Collection<UpstreamEndpoint> endpoints, UpstreamConnector connector) {
        this.endpoints = endpoints;
        this.connector = connector;
        long periodMicros = Math.max(
                MIN_PERIOD_MICROS,
                Math.min(MAX_PERIOD_MICROS, connector.idleTimeoutMicros() / PERIODS_PER_IDLE_TIMEOUT));
        schedule =
                connector.loop().scheduleWithFixedDelay(this::evict, periodMicros, periodMicros, TimeUnit.MICROSECONDS);
    }

    private void evict() {
        long forgetBeforeMicros = connector.nowMicros() - FORGET_AFTER_MICROS;
        endpoints.removeIf(endpoint -> endpoint.drainedBefore(forgetBeforeMicros));
        endpoints.forEach(UpstreamEndpoint::closeExpired);
    }

    /** Closes the connection that has been idle for longest; returns false where none is idle. */
    boolean closeLongestIdle() {
        UpstreamEndpoint holder = null;
        UpstreamConnection oldest = null;
        for (UpstreamEndpoint endpoint : endpoints) {
            UpstreamConnection connection = endpoint.longestIdle();
            if (connection != null && (oldest == null || connection.idleSinceMicros() < oldest.idleSinceMicros())) {
                oldest = connection;
                holder = endpoint;
            }
        }
        if (oldest == null) {
            return false;
        }
        holder.removeIdle(oldest);
        oldest.close();
        return true;
    }

    void stop() {
        schedule.cancel(false);
    }
}
