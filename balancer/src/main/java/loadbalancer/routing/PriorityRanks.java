package loadbalancer.routing;

import java.util.List;
import loadbalancer.policy.RequestClass;

/** Places the request classes on the scale of priorities by which the router keeps reserves. */
final class PriorityRanks {
    private PriorityRanks() {}

    /**
     * The rank of each class, in the order of {@code classes}: 0 for the lowest priority weight, 1 for the highest,
     * linear in between; 1 for all where all weights are equal.
     */
    static double[] of(List<RequestClass> classes) {
        double lowest =
                classes.stream().mapToDouble(RequestClass::priorityWeight).min().orElse(0);
        double highest =
                classes.stream().mapToDouble(RequestClass::priorityWeight).max().orElse(0);
        return classes.stream()
                .mapToDouble(requestClass ->
                        highest > lowest ? (requestClass.priorityWeight() - lowest) / (highest - lowest) : 1)
                .toArray();
    }
}
