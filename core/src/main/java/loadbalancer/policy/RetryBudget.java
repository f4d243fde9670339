package loadbalancer.policy;

/**
 * Token bucket for additional attempts: retries after failures that may have been executed, and hedged requests. Each
 * arriving request adds tokens, so that additional attempts stay a fraction of the load.
 */
final class RetryBudget {
    private static final double TOKENS_PER_REQUEST = 0.2;
    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;

    /** Adds the tokens of an arriving request. */
    void deposit() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    /** Takes a token for an additional attempt. */
    void withdraw() {
        tokens--;
    }

    double tokens() {
        return tokens;
    }

    /** Restores the tokens of a predecessor. */
    void restore(double formerTokens) {
        tokens = Math.min(MAX_TOKENS, formerTokens);
    }
}
