package loadbalancer.router;

import loadbalancer.routes.RouteRequest;

/**
 * A request, as far as the router needs it.
 *
 * @param attributes the properties that decide its route
 * @param key the key by which traffic is split; null if the request has none
 * @param priority from 0 for the lowest of all classes to 1 for the highest
 * @param clientRetry whether the client marks the request as a retry
 * @param random random number from the caller, from 0 to under 1
 */
public record RoutingRequest(
        RouteRequest attributes, String key, double priority, boolean clientRetry, double random) {}
