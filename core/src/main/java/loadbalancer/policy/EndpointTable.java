package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The endpoints that this balancer knows: those on the list, and those that are gone but still have attempts in flight.
 * An endpoint that has restarted is treated as a new one, about which nothing is known.
 */
final class EndpointTable {
    /** Number of points on the hash ring of an endpoint of mean weight. */
    private static final int RING_POINTS_OF_MEAN_WEIGHT = 8;

    private static final int MAX_RING_POINTS = 8 * RING_POINTS_OF_MEAN_WEIGHT;

    /** Maximum time that a freshly started endpoint waits for its first request. */
    private static final long MAX_FIRST_REQUEST_DELAY_MICROS = 1_500_000;

    private final ActiveSettings settings;
    private final SplittableRandom random;
    private final SlowStart slowStart;
    private final Map<String, EndpointStats> endpoints = new LinkedHashMap<>();
    private final HashRing ring = new HashRing();
    private List<EndpointStats> listed = new ArrayList<>();
    private EndpointStats[] subsetOrder = {};
    private double meanWeight = 1;

    EndpointTable(ActiveSettings settings, SplittableRandom random, SlowStart slowStart) {
        this.settings = settings;
        this.random = random;
        this.slowStart = slowStart;
    }

    /** All known endpoints, including those that are draining or gone. */
    Collection<EndpointStats> all() {
        return endpoints.values();
    }

    /** Endpoints that are up. Callers must not modify the list. */
    List<EndpointStats> listed() {
        return listed;
    }

    /** Hash ring of the listed endpoints, on which endpoints of greater weight have more points. */
    HashRing ring() {
        return ring;
    }

    /** Each listed endpoint once, in ring order from this balancer's position. Callers must not modify the array. */
    EndpointStats[] subsetOrder() {
        return subsetOrder;
    }

    /** Mean weight of the listed endpoints, 1 if there are none. */
    double meanWeight() {
        return meanWeight;
    }

    /**
     * Updates the table from a list.
     *
     * @param complete whether endpoints that are missing from the list are gone
     */
    void update(long now, boolean complete, List<Endpoint> list) {
        if (complete) {
            for (EndpointStats stats : endpoints.values()) {
                stats.endpoint = stats.endpoint.withState(EndpointState.GONE);
            }
        }
        for (Endpoint endpoint : list) {
            update(now, endpoint);
        }
        listed = new ArrayList<>();
        for (EndpointStats stats : endpoints.values()) {
            if (stats.endpoint.state() == EndpointState.UP) {
                listed.add(stats);
            }
        }
        updateRing();
        endpoints
                .values()
                .removeIf(stats -> stats.endpoint.state() == EndpointState.GONE && stats.attemptsInFlight == 0);
    }

    private void update(long now, Endpoint endpoint) {
        EndpointStats known = endpoints.get(endpoint.id());
        if (known == null || known.endpoint.startedAt() != endpoint.startedAt() && endpoint.startedAt() > 0) {
            if (known != null) {
                ring.setPointCount(known, 0);
            }
            endpoints.put(endpoint.id(), createStats(now, endpoint));
        } else {
            known.endpoint = endpoint;
        }
    }

    private EndpointStats createStats(long now, Endpoint endpoint) {
        EndpointStats stats = new EndpointStats(endpoint, random.nextInt());
        stats.slowStartTokens = random.nextDouble();
        stats.slowStartTokensAt = now;
        stats.lastSuccessAt = now;
        stats.firstRequestDueAt = slowStart.isWarm(stats, now) ? Long.MAX_VALUE : now + MAX_FIRST_REQUEST_DELAY_MICROS;
        return stats;
    }

    // Updates only the points of endpoints that have changed: rebuilding the ring at each step of a deployment would
    // cost more than all requests during the deployment.
    private void updateRing() {
        meanWeight = listed.stream()
                .mapToDouble(stats -> stats.endpoint.weight())
                .average()
                .orElse(1);
        for (EndpointStats stats : endpoints.values()) {
            double points = RING_POINTS_OF_MEAN_WEIGHT * stats.endpoint.weight() / meanWeight;
            int pointCount = (int) Math.max(1, Math.min(MAX_RING_POINTS, Math.round(points)));
            ring.setPointCount(stats, stats.endpoint.state() == EndpointState.UP ? pointCount : 0);
        }
        subsetOrder = ring.uniqueFrom(settings.ringPosition());
    }
}
