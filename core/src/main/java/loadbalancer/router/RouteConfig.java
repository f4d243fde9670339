package loadbalancer.router;

import java.util.List;
import loadbalancer.limits.RateLimit;
import loadbalancer.routes.Route;

/**
 * A route with its destinations and limits.
 *
 * @param overprovisioningFactor load that a healthy endpoint can take relative to its usual load, see {@link
 *     loadbalancer.routes.Overflow}
 * @param returnPerSecond fraction of the traffic that returns to a recovered pool per second, at most
 * @param retryBudget null for none
 * @param rate the route's rate limit for the whole site; null for none
 * @param deadlineMicros longest time that a request of this route may take; 0 to use the client's deadline alone
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
