package loadbalancer.simulator.variants;

import java.util.List;
import java.util.function.LongSupplier;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.LearnedState;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.LoadReport;

/** A policy with a meter: how long its calls took, by a clock that the caller brings. */
public final class MeteredPolicy implements LoadBalancingPolicy {
    /** What the calls of all policies that share it took, in ns. */
    public static final class Meter {
        private long decisions;
        private long lists;
        private long listCalls;

        /** Requests, outcomes and wakes. */
        public long decisionNanos() {
            return decisions;
        }

        /** Changes of the endpoint list. */
        public long listNanos() {
            return lists;
        }

        /** How often the endpoint list changed. */
        public long lists() {
            return listCalls;
        }

        /** All calls. */
        public long allNanos() {
            return decisions + lists;
        }
    }

    private final LoadBalancingPolicy policy;
    private final Meter meter;
    private final LongSupplier clock;

    /**
     * Measures a policy.
     *
     * @param meter sums up the time; may be shared by policies on one thread
     * @param clock in nanoseconds
     */
    public MeteredPolicy(LoadBalancingPolicy policy, Meter meter, LongSupplier clock) {
        this.policy = policy;
        this.meter = meter;
        this.clock = clock;
    }

    @Override
    public void endpoints(long now, EndpointListKind kind, List<Endpoint> servers, Actions out) {
        long began = clock.getAsLong();
        policy.endpoints(now, kind, servers, out);
        meter.lists += clock.getAsLong() - began;
        meter.listCalls++;
    }

    @Override
    public void request(
            long now,
            String request,
            int requestClass,
            int tenant,
            String key,
            long timeLeft,
            long work,
            boolean clientRetry,
            Actions out) {
        long began = clock.getAsLong();
        policy.request(now, request, requestClass, tenant, key, timeLeft, work, clientRetry, out);
        meter.decisions += clock.getAsLong() - began;
    }

    @Override
    public void outcome(
            long now,
            String request,
            int attempt,
            AttemptOutcome outcome,
            long latency,
            boolean closed,
            LoadReport load,
            Actions out) {
        long began = clock.getAsLong();
        policy.outcome(now, request, attempt, outcome, latency, closed, load, out);
        meter.decisions += clock.getAsLong() - began;
    }

    @Override
    public void streamStarted(long now, String request, int attempt, Actions out) {
        policy.streamStarted(now, request, attempt, out);
    }

    @Override
    public void clientGone(long now, String request, Actions out) {
        policy.clientGone(now, request, out);
    }

    @Override
    public void probed(long now, String server, AttemptOutcome outcome, long latency, LoadReport load, Actions out) {
        policy.probed(now, server, outcome, latency, load, out);
    }

    @Override
    public void wake(long now, Actions out) {
        long began = clock.getAsLong();
        policy.wake(now, out);
        meter.decisions += clock.getAsLong() - began;
    }

    @Override
    public LearnedState learnedState(long now) {
        return policy.learnedState(now);
    }

    @Override
    public void restore(long now, LearnedState learnedState) {
        policy.restore(now, learnedState);
    }

    @Override
    public void setSlowStartBudgetFactor(double factor) {
        policy.setSlowStartBudgetFactor(factor);
    }
}
