package loadbalancer.limits;

/**
 * How many requests may be in flight at a pool at the same time. An implementation learns from how requests end.
 * Implementations are pure and not thread-safe; {@link ConcurrencyLimitConfig#create} makes them.
 */
public interface ConcurrencyLimit {
    /** Requests that may be in flight, 1 or more; or 0 where nothing may. */
    int limit();

    /**
     * A request has ended.
     *
     * @param nowMicros the caller's clock, which never goes back
     * @param latencyMicros from its acceptance to its end
     * @param dropped whether it was not served: timed out, failed or was rejected for lack of capacity
     * @param inFlight requests in flight when it was accepted, itself included
     */
    void ended(long nowMicros, long latencyMicros, boolean dropped, int inFlight);
}
