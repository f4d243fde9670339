package loadbalancer.policy;

/**
 * Estimates the queue length of an endpoint, in units of one request at an endpoint of mean weight.
 *
 * <p>The estimate is the sum of this balancer's attempts in flight, the slots of attempts that failed recently, and the
 * requests of the other balancers at the endpoint. Without the last part, a balancer with little traffic would nearly
 * always find its own queues empty, and ties would send all of its requests to the same endpoints.
 *
 * <p>The requests of the other balancers are taken from the endpoint's load report. As a report ages, the estimate
 * moves from the reported number to an inferred one: by Little's law, each of the other balancers has as many requests
 * at the endpoint as this balancer has at an endpoint on average, in proportion to the endpoint's latency.
 *
 * <p>If crossing zones has a cost, queues in another zone count as longer, so that a request crosses zones only where
 * it gains more than the crossing costs.
 */
final class QueueLengthEstimator {
    /** Time constant of the moving mean of the attempts in flight. */
    private static final double IN_FLIGHT_SMOOTHING_MICROS = 2_000_000;

    /** Time constant of the trust in a load report, in multiples of the shortest expected latency. */
    private static final double REPORT_TRUST_LATENCIES = 2;

    /** Weight of one response in the slowness of an endpoint. */
    private static final double SLOWNESS_SMOOTHING = 0.25;

    /** The latency of one response counts as at most this multiple of the expected latency. */
    private static final double MAX_LATENCY_RATIO = 4;

    /** Fraction by which a queue in another zone counts as longer, per unit of cost. */
    private static final double CROSS_ZONE_PENALTY = 10;

    /** Load reports with this many requests in flight, or more, are ignored as impossible. */
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

    /** Returns the estimated queue length, in units of one request at an endpoint of mean weight. */
    double queueLength(EndpointStats stats, long now) {
        while (!stats.failedSlotExpiries.isEmpty() && stats.failedSlotExpiries.peekFirst() <= now) {
            stats.failedSlotExpiries.pollFirst();
        }
        double crossZonePenalty = stats.endpoint.zone() == settings.current().zone()
                ? 0
                : CROSS_ZONE_PENALTY * settings.current().costs().crossZone();
        double requests =
                stats.attemptsInFlight + stats.failedSlotExpiries.size() + requestsOfOtherBalancers(stats, now);
        double queue = requests * endpoints.meanWeight() / stats.endpoint.weight();
        return queue + crossZonePenalty * (1 + queue);
    }

    private double requestsOfOtherBalancers(EndpointStats stats, long now) {
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

    /** The endpoint's latency as a multiple of the expected latency; decays to 1 without responses. */
    static double slowness(EndpointStats stats, long now) {
        return 1 + (stats.slowness - 1) * Math.exp(-(now - stats.slownessAt) / DecayScale.COUNT_DECAY_MICROS);
    }

    /** Updates the slowness of the endpoint with the latency of a response, as a multiple of the expected latency. */
    void recordLatencyRatio(EndpointStats stats, double latencyRatio, long now) {
        double former = slowness(stats, now);
        stats.slowness = former + SLOWNESS_SMOOTHING * (Math.min(MAX_LATENCY_RATIO, latencyRatio) - former);
        stats.slownessAt = now;
    }

    /** Records a load report; values that are missing, negative or impossibly large are ignored. */
    void recordReport(EndpointStats stats, LoadReport report, long now) {
        if (report != null && report.inFlight() >= 0 && report.inFlight() < MAX_REPORTED_IN_FLIGHT) {
            stats.reportedInFlight = report.inFlight();
            stats.reportedAt = now;
        }
    }

    /** Counts a failed attempt as part of the queue until the given time, as the endpoint may still work on it. */
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
