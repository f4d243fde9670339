package loadbalancer.simulator.world;

import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicySettings;

/** Creates the policy of a starting balancer process. */
@FunctionalInterface
public interface PolicyFactory {
    /** Creates a policy; only oracle policies may use {@code truth}. */
    LoadBalancingPolicy create(PolicySettings settings, long seed, GroundTruth truth);
}
