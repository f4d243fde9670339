package loadbalancer.policy;

/** Tells the parts that learn from outcomes what each outcome of an attempt means for them. */
final class OutcomeRecorder {
    /** Expected latencies for which a failed attempt may still take its slot at the endpoint. */
    private static final int FAILED_SLOT_LATENCIES = 2;

    /** A cancelled attempt that has taken this multiple of the expected latency counts against its endpoint. */
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

    /** Records the outcome of an attempt and the time that it took. */
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

    // A hedged request was answered elsewhere, or the client has left: a slow endpoint may well be at work on it still.
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
