package loadbalancer.policy;

import java.util.List;

/**
 * The settings of one balancer's policy.
 *
 * @param balancers number of balancers that share the traffic
 * @param rank index of this balancer among them, from 0
 * @param zone index of the zone of this balancer
 * @param overQuotaWeight factor on the priority weight of requests over their tenant's quota
 * @param weightByWork whether priority weights are per unit of work instead of per request
 * @param loadReporting when endpoints report their load
 * @param keyAffinity whether an endpoint needs less work for a key that it served recently
 * @param tickMicros shortest step of the clock
 */
public record PolicySettings(
        int balancers,
        int rank,
        int zone,
        List<RequestClass> classes,
        List<TenantQuota> tenants,
        double overQuotaWeight,
        ServiceObjective objective,
        TrafficCosts costs,
        boolean weightByWork,
        DiscoveryMode discovery,
        LoadReporting loadReporting,
        boolean keyAffinity,
        SiteLimits limits,
        SafetyBounds bounds,
        long tickMicros) {
    /**
     * Copies the lists.
     *
     * @throws IllegalArgumentException if a value is out of its range
     */
    public PolicySettings {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        Requirements.require(balancers > 0, "balancers", balancers);
        Requirements.require(rank >= 0 && rank < balancers, "rank", rank);
        Requirements.require(!classes.isEmpty(), "classes", "none");
        Requirements.require(tickMicros > 0, "tick", tickMicros);
    }
}
