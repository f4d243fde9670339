package loadbalancer.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/** Collects the learned state of all parts of a policy, and restores it in the parts of a successor. */
final class LearnedStateTransfer {
    private final PolicyComponents components;

    LearnedStateTransfer(PolicyComponents components) {
        this.components = components;
    }

    /** Returns the learned state of all parts. */
    LearnedState collect(long now) {
        Map<String, LearnedState.EndpointHistory> histories = new LinkedHashMap<>();
        for (EndpointStats stats : components.endpoints.all()) {
            histories.put(stats.endpoint.id(), LearnedState.EndpointHistory.of(stats, now, components.scale));
        }
        return new LearnedState(
                components.latencies.learnedState(),
                components.clientRetryAge.learnedState(),
                components.admission.learnedState(),
                components.quotas.learnedState(),
                new LearnedState.Traffic(
                        components.traffic.arrivals(),
                        components.traffic.rejectedAttempts(),
                        components.retryBudget.tokens(),
                        components.queueLengths.meanAttemptsInFlight()),
                histories,
                Map.of());
    }

    /** Restores each part from the state of a predecessor; endpoints that are not listed here are ignored. */
    void restore(LearnedState learned, long now) {
        components.latencies.restore(learned.latencies());
        components.clientRetryAge.restore(learned.firstAttemptMicros());
        components.admission.restore(learned.admission());
        components.quotas.restore(learned.tenants());
        if (learned.traffic() != null) {
            restore(learned.traffic());
        }
        for (EndpointStats stats : components.endpoints.all()) {
            LearnedState.EndpointHistory history = learned.endpoints().get(stats.endpoint.id());
            if (history != null) {
                history.applyTo(stats, now, components.scale);
            }
        }
    }

    private void restore(LearnedState.Traffic learned) {
        components.traffic.restore(learned.arrivals(), learned.rejectedAttempts());
        components.retryBudget.restore(learned.retryTokens());
        components.queueLengths.restoreMeanAttemptsInFlight(learned.meanAttemptsInFlight());
    }
}
