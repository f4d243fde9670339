package loadbalancer.router;

/**
 * Configuration of a route's {@link loadbalancer.limits.RetryBudget}.
 *
 * @param ratio retries that each first attempt allows
 * @param minPerSecond retries per second that are allowed in any case, for the whole site
 * @param windowMicros time for which first attempts count
 * @param countClientRetries whether requests that clients mark as retries are taken from the budget
 */
public record RetryBudgetConfig(double ratio, double minPerSecond, long windowMicros, boolean countClientRetries) {}
