/**
 * Carries out the routing rules of an operator file on sockets: the gateway in front of all pools, the pools beside
 * the platform's own, and each pool's budgets. The rules themselves are {@link loadbalancer.router}.
 */
package loadbalancer.routing;
