package loadbalancer.policy;

/**
 * Advances all statistics of a policy in time: decays counts, computes rates, and drops outdated state. What iterates
 * over all endpoints is done at an interval only, because the cost of a wake must not grow with the number of
 * endpoints.
 */
final class StatisticsUpdater {
    /** Time between two iterations over all endpoints. */
    static final long REFRESH_INTERVAL_MICROS = 100_000;

    /** A request without an answer is no sign of overload for this fraction of its latency objective. */
    private static final double PENDING_OBJECTIVE_FRACTION = 0.5;

    private final PolicyComponents components;
    private long updatedAt;
    private long refreshAt;

    StatisticsUpdater(PolicyComponents components) {
        this.components = components;
    }

    /** Sets the time that the first {@link #advance} counts from; must be called once before it. */
    void start(long now) {
        components.quotas.start(now);
        updatedAt = now;
    }

    /** Advances all statistics by the time since the last call. */
    void advance(long now) {
        long elapsedMicros = now - updatedAt;
        updatedAt = now;
        double retained = components.scale.advance(elapsedMicros);
        components.traffic.decay(retained);
        components.quotas.decay(retained);
        if (now >= refreshAt) {
            refresh(now);
        }
        components.latencies.refreshShortest();
        components.queueLengths.advance(elapsedMicros);
        components.admission.update(elapsedMicros, components.traffic.arrivalsPerSecond(), pendingRequests(now));
    }

    private int pendingRequests(long now) {
        int pending = 0;
        for (RequestState request : components.openRequests.all()) {
            double pendingMicros = request.requestClass.latencyObjectiveMicros() * PENDING_OBJECTIVE_FRACTION;
            pending += !request.closed && now - request.arrivedAt < pendingMicros ? 1 : 0;
        }
        return pending;
    }

    /** Updates the statistics that need an iteration over all endpoints. */
    void refresh(long now) {
        components.slowStart.refresh(components.endpoints.listed(), now);
        components.outliers.refresh(now);
        components.sequencer.prune(now);
        components.keyAffinity.prune();
        if (components.scale.needsRescaling()) {
            rescale();
        }
        refreshAt = now + REFRESH_INTERVAL_MICROS;
    }

    private void rescale() {
        for (EndpointStats stats : components.endpoints.all()) {
            stats.accomplishment /= components.scale.unit();
            stats.successCount /= components.scale.unit();
            stats.failureCount /= components.scale.unit();
        }
        components.keyAffinity.clear();
        components.scale.reset();
    }
}
