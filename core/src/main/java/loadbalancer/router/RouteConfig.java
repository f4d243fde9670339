package loadbalancer.router;

import java.util.List;
import loadbalancer.limits.RateLimit;
import loadbalancer.routes.Route;

/**
 * A route and what becomes of its requests.
 *
 * @param overprovisioningFactor what a healthy endpoint can take of others' work, see {@link loadbalancer.routes.Overflow}
 * @param returnPerSecond fraction of the traffic that returns to a recovered pool per second
 * @param retryBudget null: none
 * @param rate the route's own limit for the whole site; null: none
 * @param deadlineMicros the longest that a request of this route may take; 0: as its client says
 */
public record RouteConfig(
        Route route,
        List<Destination> destinations,
        double overprovisioningFactor,
        double returnPerSecond,
        RetryBudgetConfig retryBudget,
        RateLimit rate,
        long deadlineMicros) {
    /** Copies the list. */
    public RouteConfig {
        destinations = List.copyOf(destinations);
    }
}
