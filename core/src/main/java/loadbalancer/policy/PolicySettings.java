package loadbalancer.policy;

import java.util.List;

/**
 * All that a balancer is told at its start. {@code rank} is its number among all, from 0;
 * {@code keyAffinity}: a server needs less work for a key that it served lately; {@code tickMicros} is the
 * shortest step of the clock.
 */
public record PolicySettings(
        int balancers,
        int rank,
        int zone,
        List<RequestClass> classes,
        List<TenantQuota> tenants,
        double overQuotaWeight,
        ServiceObjective goal,
        TrafficCosts prices,
        boolean weightByWork,
        DiscoveryMode discovery,
        LoadReporting reports,
        boolean keyAffinity,
        SiteLimits limits,
        SafetyBounds bounds,
        long tickMicros) {
    public PolicySettings {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        Requirements.require(balancers > 0, "balancers", balancers);
        Requirements.require(rank >= 0 && rank < balancers, "rank", rank);
        Requirements.require(!classes.isEmpty(), "classes", "none");
        Requirements.require(tickMicros > 0, "tick", tickMicros);
    }
}
