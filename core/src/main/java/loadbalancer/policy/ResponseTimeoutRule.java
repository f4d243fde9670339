package loadbalancer.policy;

/**
 * How long an attempt may take. A request that isn't safe to repeat is cut off at its latency objective where a late
 * answer earns little: its client won't come again, and waiting work that is dropped makes room for work that can be in
 * time. An idempotent one isn't cut off, as its work would go on where it runs and be done again elsewhere.
 */
final class ResponseTimeoutRule {
    /** Requests of classes whose late answers earn this fraction or more are never cut off. */
    private static final double MIN_LATE_FRACTION = 0.5;

    private ResponseTimeoutRule() {}

    /** Timeout of an attempt that is sent now, in µs; 0 for none but the request's deadline. */
    static long timeoutMicros(RequestState request, long now) {
        boolean cutOff = !request.requestClass.streamed()
                && !request.isIdempotent()
                && request.requestClass.lateFraction() < MIN_LATE_FRACTION
                && request.objectiveAt > now;
        return cutOff ? request.objectiveAt - now : 0;
    }
}
