package loadbalancer.limits;

/**
 * Limits how many requests may be in flight at a pool at the same time, and adapts to how requests end.
 * Implementations are pure and not thread-safe; {@link ConcurrencyLimitConfig#create} creates them.
 */
public interface ConcurrencyLimit {
    /** Returns the number of requests that may be in flight; 0 if none may. */
    int limit();

    /**
     * Records the end of a request.
     *
     * @param nowMicros the caller's clock, which never goes back
     * @param latencyMicros time from its admission to its end
     * @param dropped whether it was not served, because it timed out, failed or was rejected for lack of capacity
     * @param inFlight requests in flight when it was admitted, itself included
     */
    void ended(long nowMicros, long latencyMicros, boolean dropped, int inFlight);
}
