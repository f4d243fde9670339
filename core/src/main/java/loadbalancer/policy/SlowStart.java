package loadbalancer.policy;

import java.util.List;

/**
 * Limits what is sent to an endpoint in slow start. An endpoint that has just started is sent a fraction of what a warm
 * one of the same weight is sent. This fraction is the slow-start weight, which grows linearly from the initial weight
 * to 1 over the slow-start duration.
 *
 * <p>The budget is a token bucket. It holds a third of what the overload window allows, so that random bursts can't
 * fill the window. If that is less than one request, whole tokens that aren't used at once expire, so that the
 * balancers of a fleet can't spend saved tokens at the same time.
 */
final class SlowStart {
    /** Factor by which the budget exceeds the fraction of a warm endpoint's rate that the slow-start weight gives. */
    private static final double RATE_MARGIN = 1.6;

    /** The bucket holds the budget of the overload window divided by this. */
    private static final double WINDOW_DIVISOR = 3;

    /**
     * Number of responses to all balancers that any warm endpoint is assumed to give within the shortest latency
     * objective.
     */
    private static final double MIN_RESPONSES_PER_OBJECTIVE = 2;

    private static final double MICROS_PER_SECOND = 1e6;

    private final ActiveSettings settings;
    private final DecayScale scale;
    private double warmResponsesPerSecondPerWeight;
    private double budgetFactor = 1;

    SlowStart(ActiveSettings settings, DecayScale scale) {
        this.settings = settings;
        this.scale = scale;
    }

    /** The slow-start weight, above 0; 1 for a warm endpoint. */
    double weight(Endpoint endpoint, long now) {
        SafetyBounds bounds = settings.current().bounds();
        long age = now - endpoint.startedAt();
        if (endpoint.startedAt() <= 0
                || bounds.slowStartDurationMicros() <= 0
                || age >= bounds.slowStartDurationMicros()) {
            return 1;
        }
        return bounds.slowStartInitialWeight()
                + (1 - bounds.slowStartInitialWeight()) * Math.max(0, age) / bounds.slowStartDurationMicros();
    }

    /** Whether the endpoint is warm, that is, no longer in slow start. */
    boolean isWarm(EndpointStats stats, long now) {
        return weight(stats.endpoint, now) >= 1;
    }

    /**
     * Refills the budget of the endpoint up to now and returns whether an attempt may be sent to it. {@link #spend}
     * must be called for each attempt that is sent.
     */
    boolean hasBudget(EndpointStats stats, long now) {
        double weight = weight(stats.endpoint, now);
        if (weight >= 1) {
            return true;
        }
        double perSecond = budgetFactor * weight * RATE_MARGIN * warmResponsesPerSecond(stats.endpoint);
        double maxTokens =
                perSecond * settings.current().bounds().overloadWindowMicros() / (WINDOW_DIVISOR * MICROS_PER_SECOND);
        stats.slowStartTokens += perSecond * (now - stats.slowStartTokensAt) / MICROS_PER_SECOND;
        stats.slowStartTokensAt = now;
        if (maxTokens >= 1) {
            stats.slowStartTokens = Math.min(maxTokens, stats.slowStartTokens);
        } else if (stats.slowStartTokens > 1 + maxTokens) {
            stats.slowStartTokens -= Math.floor(stats.slowStartTokens - maxTokens);
        }
        return stats.slowStartTokens >= 1;
    }

    /** Counts an attempt that is sent. */
    void spend(EndpointStats stats) {
        stats.slowStartTokens--;
    }

    // Rate of responses that a warm endpoint of this weight gives this balancer.
    private double warmResponsesPerSecond(Endpoint endpoint) {
        double minPerSecond = MIN_RESPONSES_PER_OBJECTIVE
                * MICROS_PER_SECOND
                / settings.shortestObjectiveMicros()
                / settings.current().balancers();
        return Math.max(minPerSecond, warmResponsesPerSecondPerWeight * endpoint.weight());
    }

    /** Updates the response rate of warm endpoints. */
    void refresh(List<EndpointStats> listed, long now) {
        double responses = 0;
        double weight = 0;
        for (EndpointStats stats : listed) {
            if (isWarm(stats, now)) {
                responses += stats.successCount / scale.unit();
                weight += stats.endpoint.weight();
            }
        }
        warmResponsesPerSecondPerWeight =
                weight <= 0 ? 0 : responses / DecayScale.COUNT_DECAY_MICROS * MICROS_PER_SECOND / weight;
    }

    /** Sets the factor on the budget, see {@link LoadBalancingPolicy#setSlowStartBudgetFactor}. */
    void setBudgetFactor(double factor) {
        budgetFactor = factor;
    }
}
