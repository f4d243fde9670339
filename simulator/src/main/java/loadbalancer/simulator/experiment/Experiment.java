package loadbalancer.simulator.experiment;

import java.util.List;
import loadbalancer.simulator.variants.Variants.Variant;
import loadbalancer.simulator.world.WorldPlan;

/**
 * A question to the simulator: a world with its faults, the variants to play it under, on which seeds, and
 * what is expected to come of it.
 */
public record Experiment(
        String name,
        String question,
        WorldPlan plan,
        long firstSeed,
        int seeds,
        List<Variant> variants,
        List<Expectation> expectations) {

    /** The same on other seeds. */
    public Experiment on(long first, int many) {
        return new Experiment(name, question, plan, first, many, variants, expectations);
    }

    /** The same in another world. */
    public Experiment in(WorldPlan other) {
        return new Experiment(name, question, other, firstSeed, seeds, variants, expectations);
    }

    /** The same under other variants, expecting nothing. */
    public Experiment under(List<Variant> others) {
        return new Experiment(name, question, plan, firstSeed, seeds, others, List.of());
    }
}
