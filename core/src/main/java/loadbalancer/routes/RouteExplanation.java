package loadbalancer.routes;

import java.util.List;

/**
 * Explains to operators which route a request takes.
 *
 * @param match the route that takes the request; null if none does
 * @param others for each other route, a sentence that says why it doesn't take the request
 */
public record RouteExplanation(Route match, List<String> others) {}
