package loadbalancer.policy;

import java.util.List;

/**
 * Slow start: an endpoint that has just started is sent a part of what a warm one of the same weight is sent. The part
 * is the slow-start weight, which grows linearly from the initial weight to 1 within the slow-start duration.
 *
 * <p>The budget is a token bucket. It holds a third of what the overload window allows, so that chance can't fill the
 * window. Where that is less than one request, whole requests that aren't used at once expire, so that the balancers of
 * a fleet cannot spend saved budget at the same time.
 */
final class SlowStart {
    /** Budget in multiples of what a warm endpoint takes at the same slow-start weight. */
    private static final double RATE_MARGIN = 1.6;

    /** The bucket holds the budget of the overload window divided by this. */
    private static final double WINDOW_DIVISOR = 3;

    /** Answers within the shortest latency objective that any warm endpoint is taken to give, to all balancers. */
    private static final double MIN_ANSWERS_PER_OBJECTIVE = 2;

    private static final double MICROS_PER_SECOND = 1e6;

    private final ActiveSettings settings;
    private final DecayScale scale;
    private double warmAnswersPerSecondAndWeight;
    private double budgetFactor = 1;

    SlowStart(ActiveSettings settings, DecayScale scale) {
        this.settings = settings;
        this.scale = scale;
    }

    /** The slow-start weight, above 0; 1 for an endpoint that is warm. */
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

    /** Whether the endpoint is warm. */
    boolean isWarm(EndpointStats stats, long now) {
        return weight(stats.endpoint, now) >= 1;
    }

    /**
     * Refills the endpoint's budget up to now and says whether an attempt may be sent to it; {@link #spend} is called
     * for each one that is.
     */
    boolean hasBudget(EndpointStats stats, long now) {
        double weight = weight(stats.endpoint, now);
        if (weight >= 1) {
            return true;
        }
        double perSecond = budgetFactor * weight * RATE_MARGIN * warmAnswersPerSecond(stats.endpoint);
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

    // What a warm endpoint of this weight gives this balancer.
    private double warmAnswersPerSecond(Endpoint endpoint) {
        double least = MIN_ANSWERS_PER_OBJECTIVE
                * MICROS_PER_SECOND
                / settings.shortestObjectiveMicros()
                / settings.current().balancers();
        return Math.max(least, warmAnswersPerSecondAndWeight * endpoint.weight());
    }

    /** Computes the rate of answers of warm endpoints. */
    void refresh(List<EndpointStats> listed, long now) {
        double answers = 0;
        double weight = 0;
        for (EndpointStats stats : listed) {
            if (isWarm(stats, now)) {
                answers += stats.successCount / scale.unit();
                weight += stats.endpoint.weight();
            }
        }
        warmAnswersPerSecondAndWeight =
                weight <= 0 ? 0 : answers / DecayScale.COUNT_DECAY_MICROS * MICROS_PER_SECOND / weight;
    }

    /** Sets the factor on the budget, see {@link LoadBalancingPolicy#setSlowStartBudgetFactor}. */
    void setBudgetFactor(double factor) {
        budgetFactor = factor;
    }
}
