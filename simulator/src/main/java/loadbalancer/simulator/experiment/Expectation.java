package loadbalancer.simulator.experiment;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loadbalancer.simulator.stats.Interval;
import loadbalancer.toml.Suggestion;

/**
 * What an experiment is expected to show: {@code figure}, {@code figure[variant]}, {@code max(figure, variant)},
 * {@code min(figure, variant)} or {@code diff(figure, variant, variant)}, compared with a number. A plain figure is
 * the first variant's mean over all seeds. A difference is paired by seed, and its whole 95% interval must hold.
 */
public record Expectation(
        String text, String function, String figure, String variant, String other, String operator, double bound) {
    private static final Pattern FORM = Pattern.compile("\\s*(?:(max|min|diff)\\(\\s*([\\w.-]+)\\s*"
            + "(?:,\\s*([\\w.()-]+)\\s*)?(?:,\\s*([\\w.()-]+)\\s*)?\\)|([\\w.-]+?)(?:\\[([\\w.()-]+)\\])?)"
            + "\\s*(==|<=|>=|<|>)\\s*(-?[0-9.]+(?:e-?[0-9]+)?)\\s*");

    /** Whether it holds, and with what figure. */
    public record Verdict(Expectation expectation, boolean holds, String found) {}

    /**
     * Reads one.
     *
     * @throws IllegalArgumentException in plain words, for what can't be read or names what there isn't
     */
    static Expectation read(String text, List<String> figures, List<String> variants) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("expectation \"" + text + "\" can't be read: such as"
                    + " \"rules.broken == 0\" or \"diff(G, balance, random) > 0.1\"");
        }
        String function = matcher.group(1) == null ? "mean" : matcher.group(1);
        String figure = matcher.group(1) == null ? matcher.group(5) : matcher.group(2);
        String variant = matcher.group(1) == null ? matcher.group(6) : matcher.group(3);
        if (!figures.contains(figure)) {
            throw new IllegalArgumentException("expectation \"" + text + "\": no figure '" + figure + "'"
                    + Suggestion.didYouMean(figure, figures));
        }
        String first = variant == null ? variants.get(0) : variant;
        for (String v : new String[] {first, matcher.group(4)}) {
            if (v != null && !variants.contains(v)) {
                throw new IllegalArgumentException(
                        "expectation \"" + text + "\": no variant '" + v + "'" + Suggestion.didYouMean(v, variants));
            }
        }
        if (function.equals("diff") && matcher.group(4) == null) {
            throw new IllegalArgumentException("expectation \"" + text + "\": diff takes a figure and two variants");
        }
        return new Expectation(
                text,
                function,
                figure,
                first,
                matcher.group(4),
                matcher.group(7),
                Double.parseDouble(matcher.group(8)));
    }

    /** Holds it against what the variants came to. */
    public Verdict check(Results results) {
        double[] values = results.values(variant, figure);
        double least = java.util.Arrays.stream(values).min().orElse(Double.NaN);
        double most = java.util.Arrays.stream(values).max().orElse(Double.NaN);
        Interval mean = Interval.of(values);
        double low;
        double high;
        switch (function) {
            case "max" -> {
                low = most;
                high = most;
            }
            case "min" -> {
                low = least;
                high = least;
            }
            case "diff" -> {
                mean = Interval.ofDifferences(values, results.values(other, figure));
                boolean sure = !Double.isNaN(mean.halfWidth());
                low = sure ? mean.low() : mean.mean();
                high = sure ? mean.high() : mean.mean();
            }
            default -> {
                low = mean.mean();
                high = mean.mean();
            }
        }
        boolean holds =
                switch (operator) {
                    case ">" -> low > bound;
                    case ">=" -> low >= bound;
                    case "<" -> high < bound;
                    case "<=" -> high <= bound;
                    default -> low == bound && high == bound;
                };
        String found = function.equals("diff") && !Double.isNaN(mean.halfWidth())
                ? String.format(java.util.Locale.ROOT, "%.4f +- %.4f", mean.mean(), mean.halfWidth())
                : String.format(java.util.Locale.ROOT, "%.4f", low);
        return new Verdict(this, holds, found);
    }
}
