package loadbalancer.policy;

/**
 * Whether a request whose attempt has failed is sent again. An attempt that was certainly not executed may be followed
 * by another one; else the class must allow it and the retry budget must have a token. Idempotent requests are retried
 * until their deadline, others until their latency objective.
 */
final class RetryPolicy {
    private final ActiveSettings settings;
    private final RetryBudget budget;

    RetryPolicy(ActiveSettings settings, RetryBudget budget) {
        this.settings = settings;
        this.budget = budget;
    }

    /** Whether the request may have another attempt; takes a token of the budget where one is needed. */
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
        long until = request.isIdempotent() ? request.deadlineAt : request.objectiveAt;
        return safe
                && outcome != AttemptOutcome.NOT_SENT
                && request.attempts.size() < request.maxAttempts
                && now < until - settings.tickMicros();
    }
}
