package loadbalancer.simulator.world;

import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicySettings;

/** Makes the policy of a balancer that starts. */
@FunctionalInterface
public interface PolicyFactory {
    /** {@code truth} is for policies that are allowed to see everything; the others don't look. */
    LoadBalancingPolicy create(PolicySettings settings, long seed, GroundTruth truth);
}
