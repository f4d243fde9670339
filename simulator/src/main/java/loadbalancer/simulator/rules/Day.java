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
        List<RuleViolation> broken,
        Score.Series series,
        List<String> remarks,
        double seconds) {

    /** Draws the world of {@code seed} and plays its day. */
    public static Day play(WorldPlan plan, long seed, PolicyFactory maker) {
        long began = System.nanoTime();
        Score score = new Score(plan);
        RuleChecker judge = new RuleChecker(plan, score);
        World world = new World(plan, seed, maker, judge);
        world.everySecond(() -> score.sample(world.held()));
        World.Costs costs = world.run();
        Map<String, Double> figures = score.figures(costs, judge.count(), world.spells());
        return new Day(
                seed,
                figures,
                List.copyOf(judge.broken()),
                score.series(world),
                List.copyOf(world.remarks()),
                (System.nanoTime() - began) / 1e9);
    }
}
