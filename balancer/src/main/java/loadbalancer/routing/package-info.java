/**
 * Applies the routing rules of an operator file to client connections: the gateway in front of all pools, the pools
 * that the file defines beside the site's own, and each pool's budgets. The rules themselves are in
 * {@link loadbalancer.router}.
 */
package loadbalancer.routing;
