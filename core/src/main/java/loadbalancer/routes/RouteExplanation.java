package loadbalancer.routes;

import java.util.List;

/**
 * Why a request takes its route, for operators.
 *
 * @param match the route that takes the request; null where none does
 * @param others for each other route a sentence that says why it doesn't
 */
public record RouteExplanation(Route match, List<String> others) {}
