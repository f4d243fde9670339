package loadbalancer.policy;

/**
 * Retry safety: a request that may have been executed is executed again only where its class allows it. An idempotent
 * one
 * always is; one with an idempotency key is while the key is retained, at endpoints that share the key; any other one
 * never is.
 */
final class RetrySafetyRule {
    private RetrySafetyRule() {}

    /** The first attempt that may have been executed, or null. */
    static AttemptState firstThatMayHaveRun(RequestState request) {
        for (AttemptState attempt : request.attempts) {
            if (attempt.mayHaveRun) {
                return attempt;
            }
        }
        return null;
    }

    /**
     * Whether the request may be sent to the endpoint.
     *
     * @param first the request's {@link #firstThatMayHaveRun}
     * @param marginMicros how much earlier than by the class the key's retention counts as over
     */
    static boolean permits(RequestState request, AttemptState first, Endpoint endpoint, long now, long marginMicros) {
        if (first == null || request.isIdempotent()) {
            return true;
        }
        RequestClass requestClass = request.requestClass;
        if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
                || now - first.sentAt >= requestClass.keyRetentionMicros() - marginMicros) {
            return false;
        }
        return switch (requestClass.scope()) {
            case ALL -> true;
            case ZONE -> endpoint.zone() == first.endpoint.zone() && endpoint.zone() >= 0;
            case CELL -> endpoint.cell() == first.endpoint.cell() && endpoint.cell() >= 0;
        };
    }

    /** Whether the client may send the request again without harm. */
    static boolean clientMayRetry(RequestState request) {
        RequestClass requestClass = request.requestClass;
        return firstThatMayHaveRun(request) == null
                || request.isIdempotent()
                || requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && requestClass.scope() == KeyScope.ALL;
    }
}
