package loadbalancer.router;

import loadbalancer.limits.ConcurrencyLimitConfig;

/**
 * Configuration of a pool, as far as the router needs it.
 *
 * @param limit concurrency limit of the pool; null for none
 * @param fullStrength number of endpoints that the pool normally has; 0 to learn it
 */
public record PoolConfig(String name, ConcurrencyLimitConfig limit, int fullStrength) {}
