package loadbalancer.policy;

/**
 * Determines the timeout of an attempt. If a late answer earns little, an attempt of a request that is not idempotent
 * times out at the latency objective: its client will not retry, and dropping waiting work makes room for requests that
 * can still be in time. An attempt of an idempotent request does not time out before the deadline, as the endpoint
 * would go on with the work while a retry repeats it elsewhere.
 */
final class ResponseTimeoutRule {
    /** Attempts of classes whose late answers earn at least this fraction of the priority weight do not time out. */
    private static final double MIN_LATE_FRACTION = 0.5;

    private ResponseTimeoutRule() {}

    /** Timeout of an attempt that is sent now, in µs; 0 if only the deadline of the request applies. */
    static long timeoutMicros(RequestState request, long now) {
        boolean timesOut = !request.requestClass.streamed()
                && !request.isIdempotent()
                && request.requestClass.lateFraction() < MIN_LATE_FRACTION
                && request.objectiveAt > now;
        return timesOut ? request.objectiveAt - now : 0;
    }
}
