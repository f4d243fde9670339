package loadbalancer.policy;

/**
 * Estimates the queue of an endpoint, in requests at an endpoint of mean weight.
 *
 * <p>It adds this balancer's attempts in flight, the slots of attempts that failed a moment ago, and what the other
 * balancers have there. Without the last part a balancer that sees little of the traffic would nearly always find its
 * own queues empty, and ties would send all of its requests to the same endpoints.
 *
 * <p>The queues of other balancers are those of the endpoint's load report. Trust in a report decays, towards what
 * Little's law infers: as many as this balancer has at an endpoint on average, in the ratio of the endpoint's latency.
 *
 * <p>Where crossing zones has a price, a queue in another zone counts for longer, so that a crossing gains more than it
 * costs.
 */
final class QueueLengthEstimator {
    private static final double IN_FLIGHT_SMOOTHING_MICROS = 2_000_000;

    /** Time constant of the trust in a load report, in expected latencies. */
    private static final double REPORT_TRUST_LATENCIES = 2;

    /** Weight of one answer in the slowness of an endpoint. */
    private static final double SLOWNESS_SMOOTHING = 0.25;

    /** One answer counts as no slower than this multiple of the expected latency. */
    private static final double MAX_LATENCY_RATIO = 4;

    /** By which fraction a queue in another zone seems longer, per unit of price. */
    private static final double CROSS_ZONE_PENALTY = 10;

    /** Load reports of so many requests in flight, or more, are ignored as impossible. */
    private static final double MAX_REPORTED_IN_FLIGHT = 1e6;

    private final ActiveSettings settings;
    private final EndpointTable endpoints;
    private final LatencyTracker latencies;
    private int attemptsInFlight;
    private double meanAttemptsInFlight;

    QueueLengthEstimator(ActiveSettings settings, EndpointTable endpoints, LatencyTracker latencies) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.latencies = latencies;
    }

    /** The estimated queue; the unit is a request at an endpoint of mean weight. */
    double queueLength(EndpointStats stats, long now) {
        while (!stats.failedSlotExpiries.isEmpty() && stats.failedSlotExpiries.peekFirst() <= now) {
            stats.failedSlotExpiries.pollFirst();
        }
        double crossing = stats.endpoint.zone() == settings.current().zone()
                ? 0
                : CROSS_ZONE_PENALTY * settings.current().costs().crossZone();
        double requests = stats.attemptsInFlight + stats.failedSlotExpiries.size() + remoteQueueLength(stats, now);
        double queue = requests * endpoints.meanWeight() / stats.endpoint.weight();
        return queue + crossing * (1 + queue);
    }

    private double remoteQueueLength(EndpointStats stats, long now) {
        double relativeWeight = stats.endpoint.weight() / endpoints.meanWeight();
        double trust = stats.reportedAt > 0
                ? Math.exp(-(now - stats.reportedAt) / (REPORT_TRUST_LATENCIES * latencies.shortestExpectedMicros()))
                : 0;
        double inferred = relativeWeight
                * meanAttemptsInFlight
                * (settings.current().balancers() - 1)
                / Math.max(1, endpoints.listed().size());
        return slowness(stats, now) * (inferred + trust * (stats.reportedInFlight - inferred));
    }

    /** The endpoint's latency in multiples of the expected one; it returns to 1 without answers. */
    static double slowness(EndpointStats stats, long now) {
        return 1 + (stats.slowness - 1) * Math.exp(-(now - stats.slownessAt) / DecayScale.COUNT_DECAY_MICROS);
    }

    /** Records the latency of an answer, in multiples of the expected one, in the endpoint's slowness. */
    void recordLatencyRatio(EndpointStats stats, double latencyRatio, long now) {
        double former = slowness(stats, now);
        stats.slowness = former + SLOWNESS_SMOOTHING * (Math.min(MAX_LATENCY_RATIO, latencyRatio) - former);
        stats.slownessAt = now;
    }

    /** Records a load report; figures that are missing, negative or impossible are ignored. */
    void recordReport(EndpointStats stats, LoadReport report, long now) {
        if (report != null && report.inFlight() >= 0 && report.inFlight() < MAX_REPORTED_IN_FLIGHT) {
            stats.reportedInFlight = report.inFlight();
            stats.reportedAt = now;
        }
    }

    /** Counts an attempt that failed as part of the queue until that time, as the endpoint may still work on it. */
    void keepFailedSlot(EndpointStats stats, long until) {
        stats.failedSlotExpiries.add(until);
    }

    /** Counts an attempt that is sent. */
    void attemptStarted(EndpointStats stats) {
        stats.attemptsInFlight++;
        attemptsInFlight++;
    }

    /** Counts an attempt that has ended. */
    void attemptEnded(EndpointStats stats) {
        stats.attemptsInFlight--;
        attemptsInFlight--;
    }

    /** Updates the moving mean of the attempts in flight. */
    void advance(long elapsedMicros) {
        meanAttemptsInFlight +=
                (1 - Math.exp(-elapsedMicros / IN_FLIGHT_SMOOTHING_MICROS)) * (attemptsInFlight - meanAttemptsInFlight);
    }

    double meanAttemptsInFlight() {
        return meanAttemptsInFlight;
    }

    void restoreMeanAttemptsInFlight(double mean) {
        meanAttemptsInFlight = mean;
    }
}
