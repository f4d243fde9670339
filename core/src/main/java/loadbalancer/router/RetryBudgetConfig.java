package loadbalancer.router;

/**
 * The retry budget of a route, see {@link loadbalancer.limits.RetryBudget}.
 *
 * @param ratio retries for each first attempt
 * @param minPerSecond retries per second of the whole site that are free
 * @param windowMicros over which first attempts count
 * @param countClientRetries whether retries that clients mark as such draw on the budget
 */
public record RetryBudgetConfig(double ratio, double minPerSecond, long windowMicros, boolean countClientRetries) {}
