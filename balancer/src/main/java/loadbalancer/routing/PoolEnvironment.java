package loadbalancer.routing;

import io.netty.channel.EventLoop;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import loadbalancer.dispatch.UnansweredIds;
import loadbalancer.logs.Log;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.PolicySettings;
import loadbalancer.transport.MemoryBudget;
import loadbalancer.upstream.ConnectionBudget;

/**
 * The resources and settings that all pools of a process share.
 *
 * @param policyFactory creates a pool's policy from its settings and the seed of its random source
 * @param seed the seed of the process's random source, from which each pool derives its own
 * @param maxEndpoints the maximum number of endpoints of a list that one pool uses
 * @param connectionBudget the process's budget of upstream connections
 * @param responseMemory the process's limit on the heap of the responses that are being read
 * @param closeIdleClientConnection closes an idle client connection to free its descriptor; returns false if none is
 *     idle
 * @param unansweredIds the ids of requests that may not run again
 */
public record PoolEnvironment(
        EventLoop loop,
        BiFunction<PolicySettings, Long, LoadBalancingPolicy> policyFactory,
        long seed,
        int maxEndpoints,
        ConnectionBudget connectionBudget,
        MemoryBudget responseMemory,
        BooleanSupplier closeIdleClientConnection,
        UnansweredIds unansweredIds,
        Log log) {}
