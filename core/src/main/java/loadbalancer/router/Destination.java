package loadbalancer.router;

import java.util.List;

/**
 * One part of a route's traffic split.
 *
 * @param weight of the pool among the route's destinations
 * @param spillTargets where the traffic goes as the pool's health falls, in order of preference
 */
public record Destination(String pool, double weight, List<SpillTarget> spillTargets) {
    /** Copies the list. */
    public Destination {
        spillTargets = List.copyOf(spillTargets);
    }
}
