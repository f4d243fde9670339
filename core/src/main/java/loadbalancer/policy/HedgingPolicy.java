package loadbalancer.policy;

/**
 * Decides whether a request is sent to a second endpoint while its first attempt is in flight. An idempotent request is
 * hedged once it has waited longer than nearly all requests of its expected latency do. This helps against missing
 * answers of any cause, such as lost answers, stalls and connections that were dropped unnoticed.
 *
 * <p>Hedged requests draw on the retry budget, and stop while requests are rejected, so that they can't worsen an
 * overload.
 */
final class HedgingPolicy {
    /** No request is hedged while the attempts that were never executed exceed this fraction of the arrivals. */
    private static final double MAX_REJECTED_FRACTION = 0.02;

    /** Tokens of the retry budget that are reserved for retries. */
    private static final double RESERVED_RETRY_TOKENS = 4;

    /** Time kept for the hedged attempt before the latency objective, in expected latencies. */
    private static final int LATENCIES_LEFT = 2;

    private final ActiveSettings settings;
    private final LatencyTracker latencies;
    private final RetryBudget budget;

    HedgingPolicy(ActiveSettings settings, LatencyTracker latencies, RetryBudget budget) {
        this.settings = settings;
        this.latencies = latencies;
        this.budget = budget;
    }

    /** Whether requests are hedged at all at this shed level and traffic. */
    boolean isActive(double shedLevel, TrafficCounts traffic) {
        return settings.current().limits().hedgingAllowed()
                && shedLevel < settings.tiers().hedgingShedLevel()
                && traffic.rejectedAttempts() <= MAX_REJECTED_FRACTION * traffic.arrivals();
    }

    /** Whether a second attempt of the request is due. */
    boolean isDue(RequestState request, long now) {
        if (!mayBeHedged(request, now)) {
            return false;
        }
        double expected = latencies.expectedMicros(request);
        double slack = request.objectiveAt - request.arrivedAt - LATENCIES_LEFT * expected;
        double delay = Math.max(expected, slack);
        return now - request.attempts.get(request.attempts.size() - 1).sentAt >= delay;
    }

    private boolean mayBeHedged(RequestState request, long now) {
        return request.attemptsInFlight == 1
                && !request.closed
                && !request.streaming
                && request.isIdempotent()
                && now < request.objectiveAt
                && request.attempts.size() < request.maxAttempts
                && budget.tokens() >= RESERVED_RETRY_TOKENS;
    }

    /** Takes a token of the retry budget for a hedged attempt that was sent. */
    void recordHedge() {
        budget.withdraw();
    }
}
