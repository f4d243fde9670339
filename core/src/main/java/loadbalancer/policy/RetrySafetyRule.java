package loadbalancer.policy;

/**
 * Retry safety: a request that may have been executed is sent again only if its class allows it. An idempotent request
 * may always be sent again. A request with an idempotency key may be sent again while the key is retained, to endpoints
 * that recognize the key. Any other request may not.
 */
final class RetrySafetyRule {
    /** The time for which a request is permitted that may be sent again at any time. */
    static final long UNLIMITED_MICROS = Long.MAX_VALUE;

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
        long permittedMicros = permittedMicros(request, first, now, marginMicros);
        if (permittedMicros == UNLIMITED_MICROS) {
            return true;
        }
        return permittedMicros > 0 && isInScope(request.requestClass.scope(), first, endpoint);
    }

    /**
     * For how long the request may still be sent, to the endpoints that recognize its key: 0 if it may not, {@link
     * #UNLIMITED_MICROS} if no time limits it. The parameters are those of {@link #permits}.
     */
    static long permittedMicros(RequestState request, AttemptState first, long now, long marginMicros) {
        if (first == null || request.isIdempotent()) {
            return UNLIMITED_MICROS;
        }
        RequestClass requestClass = request.requestClass;
        return requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
                ? 0
                : Math.max(0, first.sentAt + requestClass.keyRetentionMicros() - marginMicros - now);
    }

    private static boolean isInScope(KeyScope scope, AttemptState first, Endpoint endpoint) {
        return switch (scope) {
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
