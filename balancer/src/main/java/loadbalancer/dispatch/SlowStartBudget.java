package loadbalancer.dispatch;

import loadbalancer.discovery.EndpointSubset;
import loadbalancer.logs.Log;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.settings.BootSettings;

/**
 * Tells the policy which multiple of the balancer's ordinary budget it may send to endpoints in slow start. During a
 * handover two processes divide the budget. With subsets, only some balancers use an endpoint, and the budget of each
 * of them is larger, so that the sum over all balancers stays the same. Used on the event loop's thread only.
 */
final class SlowStartBudget {
    private final PolicyEventQueue events;
    private final LoadBalancingPolicy policy;
    private final Log log;
    private double processFraction = 1;
    private double subsetFactor = 1;

    SlowStartBudget(PolicyEventQueue events, LoadBalancingPolicy policy, Log log) {
        this.events = events;
        this.policy = policy;
        this.log = log;
    }

    /** Sets the fraction of the balancer's budget that this process may use. */
    void setProcessFraction(double fraction) {
        processFraction = fraction;
        update();
    }

    /** Sets the subset of the endpoints that the balancer uses. */
    void setSubset(EndpointSubset subset, BootSettings siteSettings) {
        int balancerCount = siteSettings.policySettings().balancers();
        long partCount = subset.subset().partCount();
        subsetFactor = Math.min(partCount, balancerCount);
        update();
        log.warn(
                describe(subset.summary(), partCount, balancerCount),
                "parts",
                partCount,
                "listed",
                subset.listedCount(),
                "most",
                subset.maxEndpoints());
    }

    private static String describe(String summary, long partCount, int balancerCount) {
        if (summary == null) {
            return "uses the complete list of upstreams again";
        }
        return partCount > balancerCount
                ? summary + ": " + balancerCount + " balancers can't cover all parts, so some upstreams get no requests"
                : summary;
    }

    private void update() {
        events.submit(nowMicros -> policy.setSlowStartBudgetFactor(processFraction * subsetFactor));
    }
}
