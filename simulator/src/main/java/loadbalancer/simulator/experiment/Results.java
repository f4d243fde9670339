package loadbalancer.simulator.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.simulator.rules.Day;
import loadbalancer.simulator.rules.RuleViolation;
import loadbalancer.simulator.stats.Interval;

/** What the variants of an experiment came to: for each its days, in the order of the seeds. */
public record Results(Experiment experiment, Map<String, List<Day>> days) {
    public Results {
        days = new LinkedHashMap<>(days);
    }

    /** A figure of a variant, a value for each seed. */
    public double[] values(String variant, String figure) {
        return days.get(variant).stream()
                .mapToDouble(d -> d.figures().getOrDefault(figure, Double.NaN))
                .toArray();
    }

    /** Its mean over the seeds. */
    public Interval mean(String variant, String figure) {
        return Interval.of(values(variant, figure));
    }

    /** How much more the one variant has than the other, paired by seed. */
    public Interval difference(String figure, String variant, String other) {
        return Interval.ofDifferences(values(variant, figure), values(other, figure));
    }

    /** Names of all figures. */
    public List<String> figures() {
        return new ArrayList<>(days.values().iterator().next().get(0).figures().keySet());
    }

    /** Broken rules of a variant, over all seeds. */
    public List<RuleViolation> violations(String variant) {
        return days.get(variant).stream().flatMap(d -> d.violations().stream()).toList();
    }

    /** All expectations, held against these results. */
    public List<Expectation.Verdict> verdicts() {
        return experiment.expectations().stream().map(e -> e.check(this)).toList();
    }
}
