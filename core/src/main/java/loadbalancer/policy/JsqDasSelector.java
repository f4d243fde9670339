package loadbalancer.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * JSQ-DAS, join the shortest queue with differentiated accomplishment sampling. Of <i>k</i> candidates the <i>pk</i>
 * with the highest accomplishment form the top group. <i>a</i> candidates are sampled from it and <i>d - a</i> from the
 * rest, without replacement, and the one with the shortest queue is selected; ties go to the higher rank.
 *
 * <p>Source: Gardner and Stephens, "Smart Dispatching in Heterogeneous Systems". The symbols and default values are
 * those of the paper.
 */
final class JsqDasSelector {
    /** The paper's <i>d</i>: number of endpoints sampled for a request. */
    private static final int SAMPLE_SIZE = 4;

    /** The paper's <i>a</i>: how many of them are sampled from the top group. */
    private static final int TOP_SAMPLE_SIZE = 2;

    /** The paper's <i>p</i>, used if all endpoints are of the same machine kind. */
    private static final double DEFAULT_TOP_FRACTION = 0.5;

    private final SplittableRandom random;
    private final QueueLengthEstimator queueLengths;
    private double topFraction = DEFAULT_TOP_FRACTION;

    JsqDasSelector(SplittableRandom random, QueueLengthEstimator queueLengths) {
        this.random = random;
        this.queueLengths = queueLengths;
    }

    /** Selects one of the candidates; there must be at least one. */
    EndpointStats select(List<EndpointStats> candidates, long now) {
        int count = candidates.size();
        if (count == 1) {
            return candidates.get(0);
        }
        EndpointStats[] ranked = candidates.toArray(new EndpointStats[0]);
        int topCount = Math.max(1, Math.min(count - 1, (int) Math.round(topFraction * count)));
        AccomplishmentRanking.partition(ranked, topCount);
        int topSamples = Math.min(topCount, Math.max(TOP_SAMPLE_SIZE, SAMPLE_SIZE - (count - topCount)));
        int restSamples = Math.min(count - topCount, SAMPLE_SIZE - topSamples);
        EndpointStats shortestOfTop = shortestSampled(ranked, 0, topCount, topSamples, null, now);
        return shortestSampled(ranked, topCount, count, restSamples, shortestOfTop, now);
    }

    // Samples from the positions [from, to) without replacement: each sampled endpoint is swapped to the front of the
    // range.
    private EndpointStats shortestSampled(
            EndpointStats[] endpoints, int from, int to, int samples, EndpointStats shortestSoFar, long now) {
        EndpointStats shortest = shortestSoFar;
        double shortestLength = shortest == null ? 0 : queueLengths.queueLength(shortest, now);
        for (int i = from; i < from + samples; i++) {
            int sampledIndex = i + random.nextInt(to - i);
            EndpointStats sampled = endpoints[sampledIndex];
            endpoints[sampledIndex] = endpoints[i];
            endpoints[i] = sampled;
            double length = queueLengths.queueLength(sampled, now);
            if (shortest == null
                    || length < shortestLength
                    || length == shortestLength && AccomplishmentRanking.ranksBefore(sampled, shortest)) {
                shortest = sampled;
                shortestLength = length;
            }
        }
        return shortest;
    }

    /** Sets <i>p</i> to the fraction of endpoints whose machine kind has at least the mean weight of all endpoints. */
    void updateTopFraction(List<EndpointStats> listed) {
        Map<Integer, KindWeights> kinds = new LinkedHashMap<>();
        double totalWeight = 0;
        for (EndpointStats each : listed) {
            KindWeights kind = kinds.computeIfAbsent(each.endpoint.machineKind(), unused -> new KindWeights());
            kind.totalWeight += each.endpoint.weight();
            kind.count++;
            totalWeight += each.endpoint.weight();
        }
        double fastCount = 0;
        for (KindWeights kind : kinds.values()) {
            if (kind.totalWeight / kind.count >= totalWeight / listed.size()) {
                fastCount += kind.count;
            }
        }
        topFraction = kinds.size() < 2 ? DEFAULT_TOP_FRACTION : fastCount / listed.size();
    }

    /** Total weight and number of the endpoints of one machine kind. */
    private static final class KindWeights {
        private double totalWeight;
        private double count;
    }
}
