package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import loadbalancer.policy.DiscoveryMode;
import loadbalancer.policy.KeyScope;
import loadbalancer.policy.LoadReporting;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.SafetyBounds;
import loadbalancer.policy.ServiceObjective;
import loadbalancer.policy.SiteLimits;
import loadbalancer.policy.TenantQuota;
import loadbalancer.policy.TrafficCosts;

/** Creates the settings of a world's balancers from its plan. */
final class WorldSettings {
    private static final long KEY_RETENTION_MICROS = 5_000_000;
    private static final double OVER_QUOTA_WEIGHT = 0.1;
    private static final long TICK_MICROS = 5_000;

    private WorldSettings() {}

    /** The settings of the balancer of that rank; {@code maxAttempts} is bounded by the plan's. */
    static PolicySettings of(World world, int rank, int zone, int maxAttempts) {
        WorldPlan.Rules rules = world.plan.rules();
        List<TenantQuota> tenants = new ArrayList<>();
        for (double allowance : world.clients.tenantAllowances) {
            tenants.add(new TenantQuota(Math.round(allowance)));
        }
        WorldPlan.Goal goal = world.plan.goal();
        return new PolicySettings(
                world.slots.size(),
                rank,
                zone,
                classes(world.plan),
                tenants,
                OVER_QUOTA_WEIGHT,
                new ServiceObjective(goal.whole(), goal.worstWindow(), goal.worstClass(), goal.worstTenant()),
                new TrafficCosts(
                        world.plan.prices().crossZone(), world.plan.prices().handshake()),
                false,
                world.plan.discovery().polling() ? DiscoveryMode.POLL : DiscoveryMode.PUSH,
                LoadReporting.NONE,
                world.keyAffinityGain > 0 && world.plan.load().keys().max() > 0,
                new SiteLimits(
                        Math.min(maxAttempts, rules.maxAttempts()),
                        rules.hedgingAllowed(),
                        rules.cancel(),
                        rules.probes(),
                        world.plan.fleet().connectTimeoutMicros(),
                        rules.maxRetryAfterMicros()),
                bounds(world.plan),
                TICK_MICROS);
    }

    private static List<RequestClass> classes(WorldPlan plan) {
        return plan.classes().stream()
                .map(classPlan -> new RequestClass(
                        classPlan.effect(),
                        KeyScope.ALL,
                        KEY_RETENTION_MICROS,
                        classPlan.latencyObjectiveMicros(),
                        classPlan.deadline(),
                        0,
                        classPlan.priorityWeight(),
                        classPlan.lateFraction(),
                        false,
                        false,
                        Set.of(),
                        Set.of()))
                .toList();
    }

    // Balancers don't know the kinds of upstreams, so the bounds are those of the kind with the slowest start.
    private static SafetyBounds bounds(WorldPlan plan) {
        WorldPlan.Rules rules = plan.rules();
        double slowStartInitialWeight = plan.kinds().stream()
                .mapToDouble(kind -> kind.slowStartInitialWeight().min())
                .min()
                .orElse(1);
        double slowStartDurationMicros = plan.kinds().stream()
                .mapToDouble(kind -> kind.slowStartDurationMicros().max())
                .max()
                .orElse(0);
        return new SafetyBounds(
                rules.responseSlackMicros(),
                rules.drainGracePeriodMicros(),
                rules.pollIntervalMicros(),
                Math.max(0.01, Math.min(1, slowStartInitialWeight)),
                Math.round(slowStartDurationMicros),
                rules.overloadFactor(),
                rules.overloadWindowMicros(),
                0);
    }
}
