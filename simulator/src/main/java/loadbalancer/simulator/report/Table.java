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
    public static String of(Results r) {
        StringBuilder out = new StringBuilder();
        List<String> variants = List.copyOf(r.days().keySet());
        out.append(r.experiment().name())
                .append(": ")
                .append(r.experiment().question())
                .append('\n');
        out.append(String.format(
                Locale.ROOT,
                "%d seeds from %d; mean and half width of the 95%% interval%n%n",
                r.experiment().seeds(),
                r.experiment().firstSeed()));
        out.append(String.format("%-18s", ""));
        variants.forEach(v -> out.append(String.format("%22s", v)));
        out.append('\n');
        for (String figure : r.figures()) {
            if (variants.stream().allMatch(v -> allZero(r.values(v, figure)))) {
                continue;
            }
            out.append(String.format("%-18s", figure.length() > 18 ? figure.substring(0, 18) : figure));
            variants.forEach(v -> out.append(String.format("%22s", cell(r.mean(v, figure)))));
            out.append('\n');
        }
        for (String v : variants.subList(1, variants.size())) {
            Interval d = r.difference("G", variants.get(0), v);
            out.append(String.format(
                    Locale.ROOT, "%nG of %s over %s, paired: %s%s", variants.get(0), v, cell(d), sure(d)));
        }
        out.append('\n');
        for (Expectation.Verdict v : r.verdicts()) {
            out.append(String.format(
                    "%n%s  %s   (%s)",
                    v.holds() ? "holds " : "FAILS ", v.expectation().text(), v.found()));
        }
        for (String v : variants) {
            broken(v, r, out);
        }
        return out.append('\n').toString();
    }

    private static boolean allZero(double[] values) {
        return java.util.Arrays.stream(values).allMatch(x -> x == 0);
    }

    private static void broken(String variant, Results r, StringBuilder out) {
        List<RuleViolation> broken = r.violations(variant);
        double all = java.util.Arrays.stream(r.values(variant, "rules.broken")).sum();
        if (broken.isEmpty()) {
            return;
        }
        out.append(String.format(Locale.ROOT, "%n%n%s broke rules %.0f times; the first:", variant, all));
        for (RuleViolation b : broken.subList(0, Math.min(CHAINS, broken.size()))) {
            out.append(String.format(
                    Locale.ROOT, "%n  %s at %.6f s: %s: %s", b.rule(), b.at() / 1e6, b.subject(), b.description()));
            b.events().forEach(step -> out.append("\n      ").append(step));
        }
    }

    private static String sure(Interval d) {
        if (Double.isNaN(d.halfWidth())) {
            return " (one seed: no interval)";
        }
        return d.holds(0) ? " (no difference shown)" : d.mean() > 0 ? " (better)" : " (worse)";
    }

    /** A mean with its half width. */
    static String cell(Interval i) {
        if (Double.isNaN(i.mean())) {
            return "-";
        }
        String mean = number(i.mean());
        return Double.isNaN(i.halfWidth()) ? mean : mean + " +- " + number(i.halfWidth());
    }

    private static String number(double v) {
        double size = Math.abs(v);
        return String.format(Locale.ROOT, size >= 1000 ? "%.0f" : size >= 10 ? "%.1f" : "%.3f", v);
    }
}
