package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Keeps requests from endpoints that fail, are saturated or have fallen silent: as such an endpoint answers at once or
 * not at all, its queue looks short and it would be selected again and again.
 *
 * <p>Enough failures eject an endpoint for a time that doubles with each ejection. It returns on probation: one attempt
 * at a time, and none that can't be repeated where other requests can, until several in a row have succeeded. When most
 * endpoints look unhealthy the fault is likely elsewhere, and all are used (panic).
 */
final class OutlierDetector {
    /** Ejection needs more failures than this. Two within some ten recent attempts are beyond any usual error rate. */
    private static final double MIN_FAILURES = 1.6;

    /** Ejection needs that failures are more than this fraction of the recent attempts. */
    private static final double MIN_FAILURE_FRACTION = 0.15;

    private static final long FIRST_EJECTION_MICROS = 1_000_000;
    private static final int MAX_EJECTION_DOUBLINGS = 4;
    private static final int EJECTION_JITTER_DIVISOR = 4;
    private static final int PROBATION_SUCCESSES = 3;

    /** An endpoint that is silent for this multiple of the expected latency has stalled. */
    private static final double STALL_LATENCIES = 3;

    /** An endpoint that only rejects attempts for so long is not merely saturated. */
    private static final double SATURATED_SILENCE_MICROS = 2_000_000;

    /** Weight of a failure that the load may have caused. */
    private static final double LOAD_FAILURE_WEIGHT = 0.5;

    private static final double MIN_SATURATION_LATENCIES = 0.5;

    private final ActiveSettings settings;
    private final EndpointTable endpoints;
    private final LatencyTracker latencies;
    private final DecayScale scale;
    private final SplittableRandom random;
    private boolean panic;

    OutlierDetector(
            ActiveSettings settings,
            EndpointTable endpoints,
            LatencyTracker latencies,
            DecayScale scale,
            SplittableRandom random) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.latencies = latencies;
        this.scale = scale;
        this.random = random;
    }

    /** Whether the endpoint is a candidate for the request; true of all while most look unhealthy. */
    boolean admits(EndpointStats stats, RequestState request, long now) {
        return panic || isHealthyFor(stats, request, now);
    }

    /** Whether the endpoint looks healthy and, on probation, may be sent this request. */
    boolean isHealthyFor(EndpointStats stats, RequestState request, long now) {
        return !looksUnhealthy(stats, now)
                && (stats.probationSuccessesLeft == 0
                        || stats.attemptsInFlight == 0 && (request.isIdempotent() || !settings.anyIdempotentClass()));
    }

    private boolean looksUnhealthy(EndpointStats stats, long now) {
        return stats.ejectedUntil > now || stats.saturatedUntil > now || hasStalled(stats, now);
    }

    private boolean hasStalled(EndpointStats stats, long now) {
        while (!stats.attempts.isEmpty() && !stats.attempts.peekFirst().inFlight) {
            stats.attempts.pollFirst();
        }
        AttemptState oldest = stats.attempts.peekFirst();
        if (oldest == null) {
            return false;
        }
        double patienceMicros =
                STALL_LATENCIES * latencies.expectedMicros(oldest.request.classIndex) + settings.tickMicros();
        return now - oldest.sentAt > patienceMicros && now - stats.lastSuccessAt > patienceMicros;
    }

    /** Determines whether most endpoints look unhealthy. */
    void refresh(long now) {
        long unhealthy = endpoints.listed().stream()
                .filter(stats -> looksUnhealthy(stats, now))
                .count();
        panic = 2 * unhealthy > endpoints.listed().size();
    }

    /** Records a success; returns whether it ends the endpoint's probation. */
    boolean recordSuccess(EndpointStats stats, long now) {
        stats.successCount += scale.unit();
        stats.lastSuccessAt = now;
        boolean recovered = stats.probationSuccessesLeft > 0 && --stats.probationSuccessesLeft == 0;
        if (recovered) {
            stats.ejectionCount = 0;
            stats.failureCount = 0;
        }
        return recovered;
    }

    /** Records a failure of the endpoint; returns the duration of the ejection that follows in µs, or 0. */
    long recordFailure(EndpointStats stats, long now) {
        return recordFailure(stats, 1, now);
    }

    /** Records a timeout, which load may have caused; returns the duration of the ejection that follows in µs, or 0. */
    long recordTimeout(EndpointStats stats, long now) {
        return recordFailure(stats, LOAD_FAILURE_WEIGHT, now);
    }

    /**
     * Records a rejection by the endpoint, which is a failure where it has not answered for long: a hung endpoint fills
     * up and then only rejects.
     *
     * @return duration of the ejection that follows in µs, or 0
     */
    long recordRejection(EndpointStats stats, long now) {
        boolean silent = now - stats.lastSuccessAt > SATURATED_SILENCE_MICROS;
        return recordFailure(stats, silent ? LOAD_FAILURE_WEIGHT : 0, now);
    }

    /** Keeps attempts from an endpoint that has rejected one, for about the expected latency. */
    void markSaturated(EndpointStats stats, double expectedMicros, long now) {
        stats.saturatedUntil = now + (long) (expectedMicros * (MIN_SATURATION_LATENCIES + random.nextDouble()));
    }

    private long recordFailure(EndpointStats stats, double weight, long now) {
        stats.failureCount += weight * scale.unit();
        boolean outlier = stats.failureCount > MIN_FAILURES * scale.unit()
                && stats.failureCount > MIN_FAILURE_FRACTION * (stats.failureCount + stats.successCount);
        boolean eject = weight > 0 && (stats.probationSuccessesLeft > 0 || outlier);
        return eject ? eject(stats, now) : 0;
    }

    private long eject(EndpointStats stats, long now) {
        if (stats.ejectedUntil > now) {
            return 0;
        }
        long durationMicros = FIRST_EJECTION_MICROS << Math.min(MAX_EJECTION_DOUBLINGS, stats.ejectionCount++);
        stats.ejectedUntil = now + durationMicros + random.nextLong(durationMicros / EJECTION_JITTER_DIVISOR);
        stats.probationSuccessesLeft = PROBATION_SUCCESSES;
        return durationMicros;
    }
}
