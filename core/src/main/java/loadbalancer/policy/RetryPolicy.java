package loadbalancer.policy;

/**
 * Decides whether a request is retried after a failed attempt. If the attempt was certainly not executed, a retry is
 * safe and free; otherwise the class must allow it and it takes a token of the retry budget. Idempotent requests are
 * retried until their deadline, others until their latency objective.
 */
final class RetryPolicy {
    private final ActiveSettings settings;
    private final RetryBudget budget;

    RetryPolicy(ActiveSettings settings, RetryBudget budget) {
        this.settings = settings;
        this.budget = budget;
    }

    /** Whether the request may be retried; takes a token of the retry budget if the retry needs one. */
    boolean grantRetry(RequestState request, AttemptOutcome outcome, long now) {
        if (!permits(request, outcome, now)) {
            return false;
        }
        if (!outcome.neverRan()) {
            budget.withdraw();
        }
        return true;
    }

    private boolean permits(RequestState request, AttemptOutcome outcome, long now) {
        boolean nonIdempotent = request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT;
        boolean safe = outcome.neverRan() || !nonIdempotent && budget.tokens() >= 1;
        long retryUntil = request.isIdempotent() ? request.deadlineAt : request.objectiveAt;
        return safe
                && outcome != AttemptOutcome.NOT_SENT
                && request.attempts.size() < request.maxAttempts
                && now < retryUntil - settings.tickMicros();
    }
}
