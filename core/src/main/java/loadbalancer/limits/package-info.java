/**
 * Limits for concurrency, request rates and retries. Each limit is pure: the caller passes the time in microseconds and
 * enforces the limit's decision. None is thread-safe.
 */
package loadbalancer.limits;
