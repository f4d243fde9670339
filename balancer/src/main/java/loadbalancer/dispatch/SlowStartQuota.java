package loadbalancer.dispatch;

import loadbalancer.discovery.EndpointSubset;
import loadbalancer.logs.Log;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.settings.BootSettings;

/**
 * Gives the policy the multiple of the balancer's ordinary quota that it may send to endpoints in slow start: two
 * processes that serve side by side divide it, and where each endpoint is held by some of the balancers only these
 * have more of it, so that the sum over the fleet stays the same. Belongs to the event loop's thread.
 */
final class SlowStartQuota {
    private final PolicyEventQueue events;
    private final LoadBalancingPolicy policy;
    private final Log log;
    private double processFraction = 1;
    private double subsetFactor = 1;

    SlowStartQuota(PolicyEventQueue events, LoadBalancingPolicy policy, Log log) {
        this.events = events;
        this.policy = policy;
        this.log = log;
    }

    /** This process may use that fraction of the balancer's quota. */
    void setProcessFraction(double fraction) {
        processFraction = fraction;
        update();
    }

    /** The balancer holds that subset of the endpoints from here on. */
    void setSubset(EndpointSubset subset, BootSettings siteSettings) {
        int balancers = siteSettings.policySettings().balancers();
        long parts = subset.subset().partCount();
        subsetFactor = Math.min(parts, balancers);
        update();
        log.warn(
                describe(subset.summary(), parts, balancers),
                "parts",
                parts,
                "listed",
                subset.listedCount(),
                "most",
                subset.maxEndpoints());
    }

    private static String describe(String summary, long parts, int balancers) {
        if (summary == null) {
            return "holds the complete list of upstreams again";
        }
        return parts > balancers
                ? summary + ": " + balancers + " balancers can't hold all parts, some upstreams get nothing"
                : summary;
    }

    private void update() {
        events.submit(nowMicros -> policy.setSlowStartBudgetFactor(processFraction * subsetFactor));
    }
}
