/**
 * Limits of what may pass: concurrency, rates and retries. Each limit is pure: the caller brings the time, in
 * microseconds, and carries out what the limit says. None is thread-safe.
 */
package loadbalancer.limits;
