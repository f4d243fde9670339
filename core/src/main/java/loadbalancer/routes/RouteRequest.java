package loadbalancer.routes;

import java.util.Map;

/**
 * What of a request decides its route.
 *
 * @param path its segments, as {@link PathTemplate#split} gives them
 * @param headers by names in lower case
 * @param tenant null where the request names none
 * @param requestClass name of its class; null where the request names none
 */
public record RouteRequest(
        String method, String[] path, Map<String, String> headers, String tenant, String requestClass) {}
