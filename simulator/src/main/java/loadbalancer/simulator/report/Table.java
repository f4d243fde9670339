package loadbalancer.simulator.report;

import java.util.List;
import java.util.Locale;
import loadbalancer.simulator.experiment.Expectation;
import loadbalancer.simulator.experiment.Results;
import loadbalancer.simulator.rules.RuleViolation;
import loadbalancer.simulator.stats.Interval;

/** Results as lines for a terminal. */
public final class Table {
    private static final int CHAINS = 3;

    private Table() {}

    /** The whole table: variants, differences to the first, expectations, broken rules. */
    public static String of(Results results) {
        StringBuilder out = new StringBuilder();
        List<String> variants = List.copyOf(results.days().keySet());
        out.append(results.experiment().name())
                .append(": ")
                .append(results.experiment().question())
                .append('\n');
        out.append(String.format(
                Locale.ROOT,
                "%d seeds from %d; mean and half width of the 95%% interval%n%n",
                results.experiment().seeds(),
                results.experiment().firstSeed()));
        out.append(String.format("%-18s", ""));
        variants.forEach(value -> out.append(String.format("%22s", value)));
        out.append('\n');
        for (String figure : results.figures()) {
            if (variants.stream().allMatch(value -> allZero(results.values(value, figure)))) {
                continue;
            }
            out.append(String.format("%-18s", figure.length() > 18 ? figure.substring(0, 18) : figure));
            variants.forEach(value -> out.append(String.format("%22s", cell(results.mean(value, figure)))));
            out.append('\n');
        }
        for (String value : variants.subList(1, variants.size())) {
            Interval interval = results.difference("G", variants.get(0), value);
            out.append(String.format(
                    Locale.ROOT,
                    "%nG of %s over %s, paired: %s%s",
                    variants.get(0),
                    value,
                    cell(interval),
                    sure(interval)));
        }
        out.append('\n');
        for (Expectation.Verdict verdict : results.verdicts()) {
            out.append(String.format(
                    "%n%s  %s   (%s)",
                    verdict.holds() ? "holds " : "FAILS ", verdict.expectation().text(), verdict.found()));
        }
        for (String value : variants) {
            broken(value, results, out);
        }
        return out.append('\n').toString();
    }

    private static boolean allZero(double[] values) {
        return java.util.Arrays.stream(values).allMatch(x -> x == 0);
    }

    private static void broken(String variant, Results results, StringBuilder out) {
        List<RuleViolation> broken = results.violations(variant);
        double all =
                java.util.Arrays.stream(results.values(variant, "rules.broken")).sum();
        if (broken.isEmpty()) {
            return;
        }
        out.append(String.format(Locale.ROOT, "%n%n%s broke rules %.0f times; the first:", variant, all));
        for (RuleViolation violation : broken.subList(0, Math.min(CHAINS, broken.size()))) {
            out.append(String.format(
                    Locale.ROOT,
                    "%n  %s at %.6f s: %s: %s",
                    violation.rule(),
                    violation.at() / 1e6,
                    violation.subject(),
                    violation.description()));
            violation.events().forEach(step -> out.append("\n      ").append(step));
        }
    }

    private static String sure(Interval interval) {
        if (Double.isNaN(interval.halfWidth())) {
            return " (one seed: no interval)";
        }
        return interval.holds(0) ? " (no difference shown)" : interval.mean() > 0 ? " (better)" : " (worse)";
    }

    /** A mean with its half width. */
    static String cell(Interval interval) {
        if (Double.isNaN(interval.mean())) {
            return "-";
        }
        String mean = number(interval.mean());
        return Double.isNaN(interval.halfWidth()) ? mean : mean + " +- " + number(interval.halfWidth());
    }

    private static String number(double value) {
        double size = Math.abs(value);
        return String.format(Locale.ROOT, size >= 1000 ? "%.0f" : size >= 10 ? "%.1f" : "%.3f", value);
    }
}
