package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Keeps requests away from endpoints that fail, are saturated or have stalled. Such an endpoint responds at once or not
 * at all, so its queue looks short and it would be selected again and again.
 *
 * <p>Enough failures eject an endpoint for a time that doubles with each ejection. It returns on probation until
 * several attempts in a row have succeeded: it is sent one attempt at a time and, if any request class is idempotent,
 * only idempotent requests. When most endpoints look unhealthy, the fault is probably elsewhere, and all endpoints are
 * used (panic).
 */
final class OutlierDetector {
    /**
     * An endpoint is ejected only above this number of recent failures. Two failures within some ten recent attempts
     * exceed any usual error rate.
     */
    private static final double MIN_FAILURES = 1.6;

    /** An endpoint is ejected only if failures are more than this fraction of the recent attempts. */
    private static final double MIN_FAILURE_FRACTION = 0.15;

    private static final long FIRST_EJECTION_MICROS = 1_000_000;
    private static final int MAX_EJECTION_DOUBLINGS = 4;
    private static final int EJECTION_JITTER_DIVISOR = 4;
    private static final int PROBATION_SUCCESSES = 3;

    /** An endpoint that is silent for more than this multiple of the expected latency has stalled. */
    private static final double STALL_LATENCIES = 3;

    /** A rejection counts as a failure, not just as saturation, if the last success is longer ago than this. */
    private static final double MAX_SATURATION_MICROS = 2_000_000;

    /** Weight of a failure that load may have caused. */
    private static final double LOAD_FAILURE_WEIGHT = 0.5;

    /** An endpoint counts as saturated for at least this multiple of the expected latency. */
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

    /** Whether the endpoint is a candidate for the request; always true while most endpoints look unhealthy. */
    boolean admits(EndpointStats stats, RequestState request, long now) {
        return panic || isHealthyFor(stats, request, now);
    }

    /** Whether the endpoint looks healthy and, if it is on probation, may be sent this request. */
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
        double maxSilenceMicros =
                STALL_LATENCIES * latencies.expectedMicros(oldest.request.classIndex) + settings.tickMicros();
        return now - oldest.sentAt > maxSilenceMicros && now - stats.lastSuccessAt > maxSilenceMicros;
    }

    /** Updates whether most endpoints look unhealthy. */
    void refresh(long now) {
        long unhealthy = endpoints.listed().stream()
                .filter(stats -> looksUnhealthy(stats, now))
                .count();
        panic = 2 * unhealthy > endpoints.listed().size();
    }

    /** Records a success and returns whether it ends the probation of the endpoint. */
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

    /** Records a failure of the endpoint; returns the duration in µs of the ejection that follows, or 0. */
    long recordFailure(EndpointStats stats, long now) {
        return recordFailure(stats, 1, now);
    }

    /** Records a timeout, which load may have caused; returns the duration in µs of the ejection that follows, or 0. */
    long recordTimeout(EndpointStats stats, long now) {
        return recordFailure(stats, LOAD_FAILURE_WEIGHT, now);
    }

    /**
     * Records a rejection by the endpoint. It counts as a failure if the endpoint has had no success for long, as a
     * hung endpoint fills up and then only rejects.
     *
     * @return the duration in µs of the ejection that follows, or 0
     */
    long recordRejection(EndpointStats stats, long now) {
        boolean silent = now - stats.lastSuccessAt > MAX_SATURATION_MICROS;
        return recordFailure(stats, silent ? LOAD_FAILURE_WEIGHT : 0, now);
    }

    /** Keeps requests away from an endpoint that has rejected one, for about the expected latency. */
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
