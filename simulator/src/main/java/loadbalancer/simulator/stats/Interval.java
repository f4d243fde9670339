package loadbalancer.simulator.stats;

import java.util.Arrays;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * A mean with the half width of its 95% confidence interval (Student's t). The half width is NaN for fewer than two
 * values.
 */
public record Interval(double mean, double halfWidth, int count) {
    /** The interval of independent values. */
    public static Interval of(double... values) {
        int n = values.length;
        double mean = Arrays.stream(values).average().orElse(Double.NaN);
        if (n < 2) {
            return new Interval(mean, Double.NaN, n);
        }
        double sumOfSquares =
                Arrays.stream(values).map(v -> (v - mean) * (v - mean)).sum();
        double quantile = TDistribution.of(n - 1.0).inverseCumulativeProbability(0.975);
        return new Interval(mean, quantile * Math.sqrt(sumOfSquares / (n - 1) / n), n);
    }

    /** The interval of the differences {@code first - second} of paired values. */
    public static Interval ofDifferences(double[] first, double[] second) {
        double[] differences = new double[first.length];
        for (int i = 0; i < differences.length; i++) {
            differences[i] = first[i] - second[i];
        }
        return of(differences);
    }

    /** Lower bound of the interval. */
    public double low() {
        return mean - halfWidth;
    }

    /** Upper bound of the interval. */
    public double high() {
        return mean + halfWidth;
    }

    /** Whether {@code value} lies within the interval, bounds included. */
    public boolean holds(double value) {
        return value >= low() && value <= high();
    }
}
