package loadbalancer.policy;

/**
 * Advances the time of everything that a policy counts: decays counts, computes rates, and forgets what no longer
 * matters. What needs a look at all endpoints is done at an interval, as work for each wake must not grow with the
 * list.
 */
final class StatisticsUpdater {
    /** Time between two looks at all endpoints. */
    static final long REFRESH_INTERVAL_MICROS = 100_000;

    /** Part of its latency objective for which a request without an answer shows no overload. */
    private static final double PENDING_OBJECTIVE_FRACTION = 0.5;

    private final PolicyComponents components;
    private long updatedAt;
    private long refreshAt;

    StatisticsUpdater(PolicyComponents components) {
        this.components = components;
    }

    /** Counts time from now on. */
    void start(long now) {
        components.quotas.start(now);
        updatedAt = now;
    }

    /** Advances the time by what has passed since the last call. */
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
            double patienceMicros = request.requestClass.latencyObjectiveMicros() * PENDING_OBJECTIVE_FRACTION;
            pending += !request.closed && now - request.arrivedAt < patienceMicros ? 1 : 0;
        }
        return pending;
    }

    /** Does what needs a look at all endpoints. */
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
