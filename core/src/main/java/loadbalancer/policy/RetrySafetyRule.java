package loadbalancer.policy;

/**
 * Retry safety: a request that may have been executed is sent again only if its class allows it. An idempotent request
 * may always be sent again. A request with an idempotency key may be sent again while the key is retained, to endpoints
 * that recognize the key. Any other request may not.
 */
final class RetrySafetyRule {
    private RetrySafetyRule() {}

    /** Returns the first attempt of the request that may have been executed, or null. */
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
     * @param first result of {@link #firstThatMayHaveRun} for the request
     * @param marginMicros safety margin that shortens the retention of the idempotency key
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

    /** Whether the client may safely send the request again. */
    static boolean clientMayRetry(RequestState request) {
        RequestClass requestClass = request.requestClass;
        return firstThatMayHaveRun(request) == null
                || request.isIdempotent()
                || requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && requestClass.scope() == KeyScope.ALL;
    }
}
