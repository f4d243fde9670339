package loadbalancer.policy;

/**
 * Attempts that may be sent besides the first ones, for retries after failures that may have been executed and for
 * hedged requests. Requests that arrive fill it, so that such attempts stay a fraction of the load.
 */
final class RetryBudget {
    private static final double TOKENS_PER_REQUEST = 0.2;
    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;

    /** Counts a request that arrives. */
    void deposit() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    /** Counts an attempt that is sent. */
    void withdraw() {
        tokens--;
    }

    double tokens() {
        return tokens;
    }

    /** Restores what a predecessor had left. */
    void restore(double formerTokens) {
        tokens = Math.min(MAX_TOKENS, formerTokens);
    }
}
