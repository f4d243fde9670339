package loadbalancer.router;

import loadbalancer.routes.RouteRequest;

/**
 * A request, as far as the router needs it.
 *
 * @param attributes what decides its route
 * @param key what the request concerns, or null; traffic is split by it
 * @param rank priority from 0, the lowest of all classes, to 1, the highest
 * @param clientRetry whether its client says that it has tried before
 * @param random from the caller's random source, from 0 to under 1
 */
public record RoutingRequest(RouteRequest attributes, String key, double rank, boolean clientRetry, double random) {}
