package loadbalancer.simulator.stats;

import java.util.Arrays;
import org.apache.commons.statistics.distribution.TDistribution;

/** A mean with the half width of its 95% confidence interval (Student's t); NaN half width for one value. */
public record Interval(double mean, double halfWidth, int count) {
    /** Of independent values. */
    public static Interval of(double... values) {
        int n = values.length;
        double mean = Arrays.stream(values).average().orElse(Double.NaN);
        if (n < 2) {
            return new Interval(mean, Double.NaN, n);
        }
        double squares = Arrays.stream(values).map(v -> (v - mean) * (v - mean)).sum();
        double t = TDistribution.of(n - 1.0).inverseCumulativeProbability(0.975);
        return new Interval(mean, t * Math.sqrt(squares / (n - 1) / n), n);
    }

    /** Of the differences of paired values. */
    public static Interval ofDifferences(double[] first, double[] second) {
        double[] differences = new double[first.length];
        for (int i = 0; i < differences.length; i++) {
            differences[i] = first[i] - second[i];
        }
        return of(differences);
    }

    /** Least value of the interval. */
    public double low() {
        return mean - halfWidth;
    }

    /** Largest value of the interval. */
    public double high() {
        return mean + halfWidth;
    }

    /** Whether the value lies within the interval. */
    public boolean holds(double value) {
        return value >= low() && value <= high();
    }
}
