package loadbalancer.router;

import java.util.List;

/**
 * One part of a route's traffic split.
 *
 * @param weight relative weight of the pool among the route's destinations
 * @param spillTargets pools that take over traffic as the pool's health falls, the preferred one first
 */
public record Destination(String pool, double weight, List<SpillTarget> spillTargets) {
    /** Copies the list. */
    public Destination {
        spillTargets = List.copyOf(spillTargets);
    }
}
