/**
 * Chooses the route of a request, and divides a route's traffic between pools: by the weights of a split, and by
 * overflow as the health of pools falls. Pure: the caller passes the time in microseconds. Only {@link
 * loadbalancer.routes.Route}, {@link loadbalancer.routes.RouteTable}, {@link loadbalancer.routes.PathTemplate} and
 * {@link loadbalancer.routes.TrafficSplit} are immutable and may be shared between threads.
 */
package loadbalancer.routes;
