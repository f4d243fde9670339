package loadbalancer.policy;

import java.util.Arrays;
import java.util.stream.DoubleStream;

/**
 * The distinct priority weights that requests can have, ascending: the tier of a request is the index of its weight. An
 * overloaded balancer sheds the lowest tiers first. Immutable.
 *
 * <p>A weight is that of a unit of work, as work is what an overloaded fleet runs short of. Where the settings give
 * weights by request instead, heavy requests have high ones; shedding by them would starve the light classes while the
 * fleet serves few requests, so all classes then have the same weight.
 */
final class PriorityTiers {
    /** Part of a tier, of requests within their quota, that may be shed while requests are still hedged. */
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

    /** The weights, from the lowest; not to be changed. */
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

    /** The shed level up to which requests are hedged: just above the lowest tier within quota. */
    double hedgingShedLevel() {
        return hedgingShedLevel;
    }
}
