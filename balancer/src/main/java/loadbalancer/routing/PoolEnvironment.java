package loadbalancer.routing;

import io.netty.channel.EventLoop;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import loadbalancer.logs.Log;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicySettings;
import loadbalancer.upstream.ConnectionBudget;

/**
 * What all pools of a process share.
 *
 * @param policyFactory makes a pool's policy from its settings and the seed of its random source
 * @param seed of the process's random source; each pool derives its own
 * @param maxEndpoints endpoints of a list that one pool connects to at the most
 * @param connections the process's budget of upstream connections
 * @param shedClientConnection closes an idle client connection to free its descriptor; false where none is idle
 */
public record PoolEnvironment(
        EventLoop loop,
        BiFunction<PolicySettings, Long, LoadBalancingPolicy> policyFactory,
        long seed,
        int maxEndpoints,
        ConnectionBudget connections,
        BooleanSupplier shedClientConnection,
        Log log) {}
