package loadbalancer.simulator.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Idempotency;
import loadbalancer.simulator.rules.Day;
import loadbalancer.simulator.rules.RuleViolation;
import loadbalancer.simulator.variants.Variants;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** Properties that hold in every world, for any combination of faults and any policy. */
class RandomWorldsTest {
    private static final List<String> KINDS =
            FaultKinds.DESCRIPTIONS.keySet().stream().sorted().toList();
    private static final List<String> POLICIES = List.of("balance", "random", "jsq-das", "least-in-flight", "seer");

    private static WorldPlan plan(int one, int other, int upstreams, int load) {
        List<WorldPlan.Fault> faults = new ArrayList<>();
        for (int kind : new int[] {one, other}) {
            String name = KINDS.get(kind % KINDS.size());
            boolean sizeIsFraction = List.of("loss", "hot_key", "fast_errors", "garble", "grey", "deploy")
                    .contains(name);
            double size = sizeIsFraction ? 0.2 : 2;
            faults.add(Worlds.fault(name, 1 + kind % 3, 2, 0.4, size, 1.2));
        }
        return Worlds.small(load / 10.0, upstreams, one % 2 == 0 ? Idempotency.IDEMPOTENT : Idempotency.NON_IDEMPOTENT)
                .withLength(6 * Worlds.SECOND)
                .withFaults(faults);
    }

    @Property(tries = 120, seed = "21")
    void figuresAreConsistent(
            @ForAll @IntRange(max = 49) int one,
            @ForAll @IntRange(max = 49) int other,
            @ForAll @IntRange(max = 9) int upstreams,
            @ForAll @IntRange(min = 1, max = 15) int load,
            @ForAll @IntRange(max = 4) int policy,
            @ForAll @LongRange(min = 1, max = 1000) long seed) {
        Day day = Day.play(
                plan(one, other, upstreams, load), seed, Variants.policyFactory(Worlds.variant(POLICIES.get(policy))));
        Map<String, Double> figures = day.figures();
        double outcomes = 0;
        for (AttemptOutcome o : AttemptOutcome.values()) {
            outcomes += figures.get("attempts." + o.name().toLowerCase(java.util.Locale.ROOT));
        }
        boolean killed =
                plan(one, other, 1, 1).faults().stream().anyMatch(t -> t.kind().startsWith("balancers"));
        if (figures.get("attempts") > 0 && !killed) {
            assertEquals(1, outcomes, 1e-9, "each attempt has one outcome: " + figures);
        }
        for (String share : List.of("served", "whole", "worst_window", "worst_class", "worst_tenant", "refused")) {
            assertTrue(figures.get(share) >= 0 && figures.get(share) <= 1 + 1e-9, share + " in " + figures);
        }
        if (upstreams == 0) {
            assertEquals(0, figures.get("served"), "nothing can be served without upstreams");
        }
        assertTrue(figures.get("G") <= 1 && figures.get("G") > -1, figures.toString());
        // A policy may overload an upstream in slow start, but none of these may break any other rule.
        for (RuleViolation violation : day.violations()) {
            assertEquals(RuleViolation.Rule.COLD, violation.rule(), violation.toString());
        }
    }
}
