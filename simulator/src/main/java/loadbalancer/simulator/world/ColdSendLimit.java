package loadbalancer.simulator.world;

import java.util.ArrayDeque;

/**
 * Limits how many requests a process in slow start can receive before it fails. The budget counts requests over a
 * sliding window, rejected ones included, and assumes the mean work for each, since a balancer
 * cannot know a request's work.
 */
final class ColdSendLimit {
    /** Standard deviations of a Poisson count that the limit leaves above the budget. */
    private static final double BURST_DEVIATIONS = 2;
    /** Requests that the limit leaves above these deviations. */
    private static final double BURST_REQUESTS = 2;

    private record Send(long at, boolean startKnown) {}

    private final WorldPlan.Rules rules;
    private final ArrayDeque<Send> sends = new ArrayDeque<>();

    ColdSendLimit(WorldPlan.Rules rules) {
        this.rules = rules;
    }

    /** Adds a request, and removes those that have left the window. */
    void add(long now, boolean startKnown) {
        sends.add(new Send(now, startKnown));
        while (now - sends.peek().at > rules.overloadWindowMicros()) {
            sends.poll();
        }
    }

    /** Maximum number of requests within the window for a process of {@code capacity}, in standard cores. */
    double maxSends(double capacity, double meanWork) {
        double budget = rules.overloadFactor() * capacity * rules.overloadWindowMicros() / meanWork;
        return budget + BURST_DEVIATIONS * Math.sqrt(budget) + BURST_REQUESTS;
    }

    /** Fraction of the window's requests from balancers that had been notified of the process's start. */
    double notifiedFraction() {
        double notified = sends.stream().filter(Send::startKnown).count();
        return notified / sends.size();
    }

    int size() {
        return sends.size();
    }

    void clear() {
        sends.clear();
    }
}
