package loadbalancer.routing;

import java.util.List;
import loadbalancer.policy.RequestClass;

/**
 * Computes the priority rank of each request class. The router reserves a part of its limits for requests of a higher
 * rank.
 */
final class PriorityRanks {
    private PriorityRanks() {}

    /**
     * Returns the rank of each class, in the order of {@code classes}: 0 for the lowest priority weight, 1 for the
     * highest, linear in between. All ranks are 1 if all weights are equal.
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
