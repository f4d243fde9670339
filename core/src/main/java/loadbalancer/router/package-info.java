/**
 * Routing in front of the pools: chooses the route and the pool of a request and decides whether it is admitted.
 * Combines {@code routes} and {@code limits} in one pure state machine. The policy of each pool chooses endpoints,
 * makes retries and may reject further requests.
 */
package loadbalancer.router;
