package loadbalancer.simulator.world;

import java.util.List;
import loadbalancer.policy.Idempotency;
import loadbalancer.simulator.policies.Choosers;
import loadbalancer.simulator.variants.Variants;

/** Small worlds for tests, with fixed values instead of ranges. */
public final class Worlds {
    private static final Range NONE = Range.of(0);
    private static final Range ONE = Range.of(1);
    public static final long SECOND = 1_000_000;

    private Worlds() {}

    /** A world of three balancers and {@code upstreams} upstreams of two cores each. */
    public static WorldPlan small(double load, int upstreams, Idempotency effect, WorldPlan.Fault... faults) {
        return new WorldPlan(
                12 * SECOND,
                Range.of(3),
                Range.of(upstreams),
                List.of("a", "b"),
                new WorldPlan.Load(
                        Range.of(load), WorldPlan.Shape.STEADY, NONE, NONE, Range.of(50), Range.of(0.8), ONE),
                new WorldPlan.Network(Range.of(200), Range.of(2000), Range.of(300), Range.of(0.2), 0),
                new WorldPlan.Clients(
                        Range.of(2), Range.of(0.7), Range.of(50_000), ONE, Range.of(0.02), Range.of(1_500_000), false),
                new WorldPlan.Discovery(
                        true,
                        Range.of(500_000),
                        Range.of(3_000_000),
                        Range.of(300_000),
                        Range.of(200_000),
                        Range.of(50_000),
                        Range.of(50),
                        Range.of(100),
                        2 * SECOND),
                new WorldPlan.Rules(20_000, 1_500_000, 10 * SECOND, 3, 2 * SECOND, 5, false, true, true, 1_500_000),
                new WorldPlan.Goal(0.5, 0.2, 0.2, 0.1),
                new WorldPlan.Prices(0.01, 0.04, 0.01, 0.04, 0.02),
                new WorldPlan.Fleet(
                        Range.of(3),
                        NONE,
                        ONE,
                        ONE,
                        Range.of(500),
                        60 * SECOND,
                        100_000,
                        Range.of(500),
                        Range.of(0.1),
                        Range.of(0.4),
                        Range.of(5 * SECOND),
                        Range.of(20)),
                List.of(new WorldPlan.Kind(
                        "box",
                        ONE,
                        2,
                        ONE,
                        NONE,
                        Range.of(4),
                        Range.of(20),
                        0,
                        Range.of(8),
                        Range.of(0.3),
                        Range.of(4 * SECOND),
                        WorldPlan.WarmBy.REQUESTS,
                        NONE,
                        1)),
                List.of(new WorldPlan.RequestClassPlan(
                        "read",
                        ONE,
                        Range.of(20_000),
                        WorldPlan.Spread.EXPONENTIAL,
                        ONE,
                        NONE,
                        200_000,
                        SECOND,
                        1,
                        0,
                        effect)),
                List.of(new WorldPlan.Tenant("one", 0.6, ONE), new WorldPlan.Tenant("two", 0.4, ONE)),
                List.of(faults));
    }

    /** A fault with fixed values; times are in seconds. */
    public static WorldPlan.Fault fault(
            String kind, double at, double length, double fraction, double size, double extra) {
        return new WorldPlan.Fault(
                kind,
                Range.of(at * SECOND),
                Range.of(length * SECOND),
                Range.of(fraction),
                Range.of(size),
                Range.of(extra));
    }

    /** A variant that is named after its policy. */
    public static Variants.Variant variant(String policy) {
        return new Variants.Variant(policy, policy, new Choosers.Figures(4, 2, 0.5));
    }
}
