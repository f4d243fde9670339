package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the endpoints that a request may be sent to now: those of a subset of the list that all rules permit.
 *
 * <p>The subset is found by walking the hash ring until enough warm endpoints are found. The walk starts at this
 * balancer's position or, with key affinity, at the key's. With a subset, the number of connections doesn't grow with
 * the list, and each endpoint receives requests from this balancer often enough for its counts and queue length to be
 * meaningful. If the rules exclude endpoints of the subset, the walk goes on, over the whole list if necessary.
 */
final class CandidateSelector {
    /** Minimum number of endpoints in a subset, no more than sampling needs. */
    private static final int MIN_SUBSET_SIZE = 6;

    /** Subsets are sized so that this balancer sends a request to each endpoint about this often. */
    private static final double REQUEST_INTERVAL_SECONDS = 1.5;

    /** The same where new connections have a cost; a smaller subset needs fewer connections. */
    private static final double REQUEST_INTERVAL_WITH_HANDSHAKE_COST_SECONDS = 0.5;

    /**
     * Where only endpoints of the own zone count towards the subset, the walk ends after this multiple of the subset
     * size in warm endpoints of any zone.
     */
    private static final int CROSS_ZONE_WALK_FACTOR = 4;

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

    /**
     * Returns the candidates; empty if the request has to wait. Endpoints that the request was already sent to are
     * returned only if there are no others.
     */
    List<EndpointStats> candidates(RequestState request, long now) {
        if (keyAffinity.appliesTo(request, endpoints.listed().size())) {
            int size =
                    keyAffinity.subsetSize(request.keyHash, endpoints.listed().size(), traffic.arrivals());
            HashRing ring = endpoints.ring();
            return walk(request, ring.endpoints(), ring.startIndex(request.keyHash), size, false, now);
        }
        TrafficCosts costs = settings.current().costs();
        double requestIntervalSeconds =
                costs.handshake() > 0 ? REQUEST_INTERVAL_WITH_HANDSHAKE_COST_SECONDS : REQUEST_INTERVAL_SECONDS;
        int size = (int) Math.max(MIN_SUBSET_SIZE, traffic.arrivalsPerSecond() * requestIntervalSeconds);
        boolean preferOwnZone = costs.crossZone() > costs.handshake();
        return walk(request, endpoints.subsetOrder(), 0, size, preferOwnZone, now);
    }

    private List<EndpointStats> walk(
            RequestState request,
            EndpointStats[] order,
            int startIndex,
            int subsetSize,
            boolean preferOwnZone,
            long now) {
        List<EndpointStats> untried = new ArrayList<>();
        List<EndpointStats> alreadyTried = new ArrayList<>();
        AttemptState firstThatMayHaveRun = RetrySafetyRule.firstThatMayHaveRun(request);
        int ownZone = settings.current().zone();
        int warmCount = 0;
        int countedWarmCount = 0;
        walkNumber++;
        for (int i = 0;
                i < order.length && countedWarmCount < subsetSize && warmCount < CROSS_ZONE_WALK_FACTOR * subsetSize;
                i++) {
            EndpointStats stats = order[(startIndex + i) % order.length];
            if (stats.lastWalkNumber == walkNumber) {
                continue;
            }
            stats.lastWalkNumber = walkNumber;
            if (isCandidate(stats, request, firstThatMayHaveRun, now)) {
                (request.wasSentTo(stats) ? alreadyTried : untried).add(stats);
                if (slowStart.isWarm(stats, now)) {
                    warmCount++;
                    countedWarmCount += preferOwnZone && stats.endpoint.zone() != ownZone ? 0 : 1;
                }
            }
        }
        return untried.isEmpty() ? alreadyTried : untried;
    }

    private boolean isCandidate(EndpointStats stats, RequestState request, AttemptState firstThatMayHaveRun, long now) {
        return PlacementRule.permits(request.requestClass, stats.endpoint)
                && RetrySafetyRule.permits(request, firstThatMayHaveRun, stats.endpoint, now, settings.tickMicros())
                && slowStart.hasBudget(stats, now)
                && outliers.admits(stats, request, now);
    }

    /**
     * Returns an endpoint that has just started and is due for its first request, if this request may be the first one,
     * or null. With little traffic, ranking alone might not select such an endpoint for a long time.
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
