package loadbalancer.simulator.fleet;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What was measured at one size of one axis.
 *
 * @param axis the name of the {@link Axis}
 * @param size how many of what the axis counts
 * @param figures by name with the unit as its last word, such as {@code heap_per_balancer_bytes}
 * @param missed what could not be reached or is not as on the operators' machines, one sentence each
 */
public record ScalePoint(String axis, long size, Map<String, Double> figures, List<String> missed) {
    /** Keeps copies; figures are in the order of their names. */
    public ScalePoint {
        figures = java.util.Collections.unmodifiableMap(new TreeMap<>(figures));
        missed = List.copyOf(missed);
    }
}
