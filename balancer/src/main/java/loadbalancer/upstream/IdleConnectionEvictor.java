package loadbalancer.upstream;

import java.util.Collection;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes idle connections well before their upstreams do. A request that is written to a connection while the upstream
 * closes it is reset, and requests of most classes can't be retried then, as they may have run. Also removes endpoints
 * whose drain ended long ago. Used on the event loop's thread only.
 */
final class IdleConnectionEvictor {
    private static final long REMOVE_AFTER_MICROS = 60_000_000; // after the drain deadline of an endpoint
    private static final long MIN_PERIOD_MICROS = 10_000;
    private static final long MAX_PERIOD_MICROS = 1_000_000;
    private static final int PERIODS_PER_IDLE_TIMEOUT = 10;

    private final Collection<UpstreamEndpoint> endpoints;
    private final UpstreamConnector connector;
    private final Future<?> schedule;

    /** Creates and starts an evictor for {@code endpoints}, a live view of the endpoints of the pool. */
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
        long removeBeforeMicros = connector.nowMicros() - REMOVE_AFTER_MICROS;
        endpoints.removeIf(endpoint -> endpoint.drainedBefore(removeBeforeMicros));
        endpoints.forEach(UpstreamEndpoint::closeExpired);
    }

    /** Closes the connection that has been idle the longest; returns false if none is idle. */
    boolean closeLongestIdle() {
        UpstreamEndpoint oldestEndpoint = null;
        UpstreamConnection oldest = null;
        for (UpstreamEndpoint endpoint : endpoints) {
            UpstreamConnection connection = endpoint.longestIdle();
            if (connection != null && (oldest == null || connection.idleSinceMicros() < oldest.idleSinceMicros())) {
                oldest = connection;
                oldestEndpoint = endpoint;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldestEndpoint.removeIdle(oldest);
        oldest.close();
        return true;
    }

    void stop() {
        schedule.cancel(false);
    }
}
