/**
 * Which route a request takes, and how a route's traffic is divided between pools: by the weights of a split, and by
 * overflow as the health of pools falls. Pure: the caller brings the time, in microseconds. Only {@link
 * loadbalancer.routes.Route}, {@link loadbalancer.routes.RouteTable}, {@link loadbalancer.routes.PathTemplate} and
 * {@link loadbalancer.routes.TrafficSplit} are immutable and may be shared between threads.
 */
package loadbalancer.routes;
