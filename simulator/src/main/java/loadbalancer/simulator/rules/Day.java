package loadbalancer.simulator.rules;

import java.util.List;
import java.util.Map;
import loadbalancer.simulator.world.PolicyFactory;
import loadbalancer.simulator.world.World;
import loadbalancer.simulator.world.WorldPlan;

/** One day of one world under one policy, and what it came to. */
public record Day(
        long seed,
        Map<String, Double> figures,
        List<RuleViolation> violations,
        Score.Series series,
        List<String> logLines,
        double seconds) {

    /** Draws the world of {@code seed} and plays its day. */
    public static Day play(WorldPlan plan, long seed, PolicyFactory policyFactory) {
        long began = System.nanoTime();
        Score score = new Score(plan);
        RuleChecker checker = new RuleChecker(plan, score);
        World world = new World(plan, seed, policyFactory, checker);
        world.everySecond(() -> score.sample(world.requestsInFlight()));
        World.Costs costs = world.run();
        Map<String, Double> figures = score.figures(costs, checker.count(), world.faultIntervals());
        return new Day(
                seed,
                figures,
                List.copyOf(checker.violations()),
                score.series(world),
                List.copyOf(world.logLines()),
                (System.nanoTime() - began) / 1e9);
    }
}
