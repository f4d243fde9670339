package loadbalancer.router;

import loadbalancer.limits.ConcurrencyLimitConfig;

/**
 * A pool as the router knows it.
 *
 * @param limit of the requests in flight; null: none
 * @param fullStrength endpoints that the pool has as a rule; 0 to learn it
 */
public record PoolConfig(String name, ConcurrencyLimitConfig limit, int fullStrength) {}
