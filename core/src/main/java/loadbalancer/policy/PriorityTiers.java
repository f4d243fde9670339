package loadbalancer.policy;

import java.util.Arrays;
import java.util.stream.DoubleStream;

/**
 * The distinct priority weights that requests can have, in ascending order. The tier of a request is the index of its
 * weight. An overloaded balancer sheds the lowest tiers first. Immutable.
 *
 * <p>A weight is per unit of work, because work is what an overloaded fleet lacks capacity for. If the settings give
 * weights per request instead, all classes have the same weight: heavy requests then have high weights, and shedding by
 * these would starve the light classes while the fleet serves few requests.
 */
final class PriorityTiers {
    /** Requests are hedged until more than this fraction of the lowest tier within quota is shed. */
    private static final double HEDGING_SHED_TOLERANCE = 0.05;

    private final PolicySettings settings;
    private final double[] weights;
    private final double lowestWithinQuota;
    private final double hedgingShedLevel;

    PriorityTiers(PolicySettings settings) {
        this.settings = settings;
        this.weights = settings.classes().stream()
                .flatMapToDouble(each -> DoubleStream.of(weight(each, false), weight(each, true)))
                .distinct()
                .sorted()
                .toArray();
        this.lowestWithinQuota = settings.classes().stream()
                .mapToDouble(each -> weight(each, false))
                .min()
                .getAsDouble();
        this.hedgingShedLevel = Arrays.binarySearch(weights, lowestWithinQuota) + HEDGING_SHED_TOLERANCE;
    }

    private double weight(RequestClass requestClass, boolean lowPriority) {
        return (settings.weightByWork() ? requestClass.priorityWeight() : 1)
                * (lowPriority ? settings.overQuotaWeight() : 1);
    }

    /** The weights in ascending order; the array must not be modified. */
    double[] weights() {
        return weights;
    }

    /** The lowest weight of a request within its tenant's quota. */
    double lowestWithinQuota() {
        return lowestWithinQuota;
    }

    /** The tier of a request that has arrived under these settings. */
    int tierOf(RequestState request) {
        return Arrays.binarySearch(weights, weight(request.requestClass, request.lowPriority));
    }

    /** The shed level below which requests are hedged, a little above the tiers over quota. */
    double hedgingShedLevel() {
        return hedgingShedLevel;
    }
}
