package loadbalancer.policy;

/** Passes each outcome of an attempt on to the classes that learn from outcomes. */
final class OutcomeRecorder {
    /** Time for which a failed attempt may still occupy its slot at the endpoint, in expected latencies. */
    private static final int FAILED_SLOT_LATENCIES = 2;

    /** A cancelled attempt that took more than this multiple of the expected latency counts against its endpoint. */
    private static final int SLOW_LATENCIES = 2;

    private final LatencyTracker latencies;
    private final AccomplishmentRanking ranking;
    private final QueueLengthEstimator queueLengths;
    private final OutlierDetector outliers;
    private final AdmissionController admission;
    private final RateLimitedLog log;

    OutcomeRecorder(
            LatencyTracker latencies,
            AccomplishmentRanking ranking,
            QueueLengthEstimator queueLengths,
            OutlierDetector outliers,
            AdmissionController admission,
            RateLimitedLog log) {
        this.latencies = latencies;
        this.ranking = ranking;
        this.queueLengths = queueLengths;
        this.outliers = outliers;
        this.admission = admission;
        this.log = log;
    }

    /** Records the outcome and the latency of an attempt. */
    void record(
            AttemptState attempt,
            AttemptOutcome outcome,
            long latencyMicros,
            long now,
            LoadBalancingPolicy.Actions actions) {
        EndpointStats target = attempt.target;
        double latencyRatio = latencyMicros / latencies.expectedMicros(attempt.request);
        double classMicros = latencies.expectedMicros(attempt.request.classIndex);
        long failedSlotUntil = now + (long) (FAILED_SLOT_LATENCIES * classMicros);
        switch (outcome) {
            case OK -> recordSuccess(attempt, latencyMicros, latencyRatio, now, actions);
            case CANCELLED -> recordCancellation(attempt, latencyMicros, latencyRatio, failedSlotUntil, now);
            case NOT_SENT -> {}
            case FULL -> {
                recordFailedSlot(target, now + (long) classMicros);
                logEjection(target, outliers.recordRejection(target, now), now, actions);
                outliers.markSaturated(target, classMicros, now);
                admission.recordOverload();
            }
            case TIMEOUT -> {
                queueLengths.recordLatencyRatio(target, latencyRatio, now);
                admission.recordOverload();
                recordFailedSlot(target, failedSlotUntil);
                logEjection(target, outliers.recordTimeout(target, now), now, actions);
            }
            default -> {
                recordFailedSlot(target, failedSlotUntil);
                logEjection(target, outliers.recordFailure(target, now), now, actions);
            }
        }
    }

    private void recordSuccess(
            AttemptState attempt,
            long latencyMicros,
            double latencyRatio,
            long now,
            LoadBalancingPolicy.Actions actions) {
        EndpointStats target = attempt.target;
        RequestState request = attempt.request;
        queueLengths.recordLatencyRatio(target, latencyRatio, now);
        latencies.recordLatency(request.classIndex, latencyMicros);
        if (outliers.recordSuccess(target, now)) {
            log.log(now, () -> "recovered " + target.endpoint.id(), actions);
        }
        admission.recordCompletion();
        admission.recordLatency(latencyMicros / (double) request.requestClass.latencyObjectiveMicros());
    }

    // The request was answered by another endpoint, or its client has disconnected. A slow endpoint may still be
    // working on the cancelled attempt.
    private void recordCancellation(
            AttemptState attempt, long latencyMicros, double latencyRatio, long failedSlotUntil, long now) {
        if (latencyMicros > SLOW_LATENCIES * latencies.expectedMicros(attempt.request)) {
            EndpointStats target = attempt.target;
            recordFailedSlot(target, failedSlotUntil);
            double slowness = Math.max(QueueLengthEstimator.slowness(target, now), latencyRatio);
            queueLengths.recordLatencyRatio(target, slowness, now);
        }
    }

    private void recordFailedSlot(EndpointStats target, long until) {
        ranking.revoke(target);
        queueLengths.keepFailedSlot(target, until);
    }

    private void logEjection(EndpointStats target, long durationMicros, long now, LoadBalancingPolicy.Actions actions) {
        if (durationMicros > 0) {
            String id = target.endpoint.id();
            log.log(now, () -> "ejected " + id + " for " + durationMicros / 1000 + " ms after failures", actions);
        }
    }
}
