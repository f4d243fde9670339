package loadbalancer.wire;

import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.settings.BootSettings;

/** A balancer that an adapter hosts: its name on the wire, its policy and its settings. */
record HostedBalancer(String name, LoadBalancingPolicy policy, BootSettings boot) {}
