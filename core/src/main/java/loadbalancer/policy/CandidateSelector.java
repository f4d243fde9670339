package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Which endpoints a request may be sent to now: a subset of the list, of those that all rules allow.
 *
 * <p>The subset is found by a walk over the hash ring, from this balancer's position or, with key affinity, from the
 * key's, until enough warm endpoints are found. Connections then don't grow with the list, and each endpoint hears from
 * this balancer often enough for counts and queues to mean something. Where endpoints of the subset may not be used,
 * the walk goes on, over the whole list if need be.
 */
final class CandidateSelector {
    /** Endpoints of a subset at least, as few as sampling needs. */
    private static final int MIN_SUBSET_SIZE = 6;

    /** Time between requests of this balancer to one endpoint that the subset is sized for. */
    private static final double VISIT_INTERVAL_SECONDS = 1.5;

    /** The same where new connections have a price. */
    private static final double PRICED_VISIT_INTERVAL_SECONDS = 0.5;

    /** A walk goes on for so many times the subset where only endpoints of the own zone count. */
    private static final int CROSS_ZONE_REACH = 4;

    private final ActiveSettings settings;
    private final EndpointTable endpoints;
    private final KeyAffinity keyAffinity;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final TrafficCounts traffic;
    private int walkNumber;

    CandidateSelector(
            ActiveSettings settings,
            EndpointTable endpoints,
            KeyAffinity keyAffinity,
            SlowStart slowStart,
            OutlierDetector outliers,
            TrafficCounts traffic) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.keyAffinity = keyAffinity;
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.traffic = traffic;
    }

    /** The candidates, none where the request has to wait. Those that it was sent to only where no others are left. */
    List<EndpointStats> candidates(RequestState request, long now) {
        if (keyAffinity.appliesTo(request, endpoints.listed().size())) {
            int size =
                    keyAffinity.subsetSize(request.keyHash, endpoints.listed().size(), traffic.arrivals());
            HashRing ring = endpoints.ring();
            return walk(request, ring.endpoints(), ring.startIndex(request.keyHash), size, false, now);
        }
        TrafficCosts prices = settings.current().costs();
        double visitInterval = prices.handshake() > 0 ? PRICED_VISIT_INTERVAL_SECONDS : VISIT_INTERVAL_SECONDS;
        int size = (int) Math.max(MIN_SUBSET_SIZE, traffic.arrivalsPerSecond() * visitInterval);
        boolean preferOwnZone = prices.crossZone() > prices.handshake();
        return walk(request, endpoints.subsetOrder(), 0, size, preferOwnZone, now);
    }

    private List<EndpointStats> walk(
            RequestState request,
            EndpointStats[] order,
            int startIndex,
            int subsetSize,
            boolean preferOwnZone,
            long now) {
        List<EndpointStats> fresh = new ArrayList<>();
        List<EndpointStats> alreadyTried = new ArrayList<>();
        AttemptState firstThatMayHaveRun = RetrySafetyRule.firstThatMayHaveRun(request);
        int zone = settings.current().zone();
        int warm = 0;
        int warmCounted = 0;
        walkNumber++;
        for (int i = 0; i < order.length && warmCounted < subsetSize && warm < CROSS_ZONE_REACH * subsetSize; i++) {
            EndpointStats stats = order[(startIndex + i) % order.length];
            if (stats.lastWalk == walkNumber) {
                continue;
            }
            stats.lastWalk = walkNumber;
            if (isCandidate(stats, request, firstThatMayHaveRun, now)) {
                (request.wasSentTo(stats) ? alreadyTried : fresh).add(stats);
                if (slowStart.isWarm(stats, now)) {
                    warm++;
                    warmCounted += preferOwnZone && stats.endpoint.zone() != zone ? 0 : 1;
                }
            }
        }
        return fresh.isEmpty() ? alreadyTried : fresh;
    }

    private boolean isCandidate(EndpointStats stats, RequestState request, AttemptState firstThatMayHaveRun, long now) {
        return PlacementRule.permits(request.requestClass, stats.endpoint)
                && RetrySafetyRule.permits(request, firstThatMayHaveRun, stats.endpoint, now, settings.tickMicros())
                && slowStart.hasBudget(stats, now)
                && outliers.admits(stats, request, now);
    }

    /**
     * An endpoint that has just started and is due for its first request, which this one may be, or null. Where traffic
     * is thin, the ranking alone may leave such an endpoint out for long.
     */
    EndpointStats dueForFirstRequest(RequestState request, long now) {
        boolean repeatable = request.isIdempotent() || !settings.anyIdempotentClass();
        if (!repeatable || !request.attempts.isEmpty()) {
            return null;
        }
        for (EndpointStats stats : endpoints.listed()) {
            if (stats.firstRequestDueAt <= now
                    && PlacementRule.permits(request.requestClass, stats.endpoint)
                    && slowStart.hasBudget(stats, now)
                    && outliers.isHealthyFor(stats, request, now)) {
                return stats;
            }
        }
        return null;
    }
}
