package loadbalancer.routes;

import java.util.Map;

/**
 * The properties of a request that decide its route.
 *
 * @param path segments of the path, as returned by {@link PathTemplate#split}
 * @param headers values by header name in lower case
 * @param tenant null if the request names none
 * @param requestClass name of the request class; null if the request names none
 */
public record RouteRequest(
        String method, String[] path, Map<String, String> headers, String tenant, String requestClass) {}
