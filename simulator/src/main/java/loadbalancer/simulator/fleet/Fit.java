package loadbalancer.simulator.fleet;

import java.util.Arrays;

/**
 * A straight line through measurements by least squares, each weighted by the inverse square of its value so that the
 * largest size does not drown the others.
 *
 * @param slope figure per unit of size
 * @param base figure at size nought
 * @param slopeError standard error of the slope; NaN for fewer than three points
 * @param worst the largest residual as a share of the measured value
 * @param largest the largest size that was measured
 */
public record Fit(double slope, double base, double slopeError, double worst, double largest) {
    /** A slope is not carried further than this many times the largest measured size without saying so. */
    public static final double REACH = 10;

    /**
     * Fits.
     *
     * @param sizes at least two different ones
     * @param values what was measured at each
     * @throws IllegalArgumentException where there are fewer
     */
    public static Fit of(double[] sizes, double[] values) {
        if (sizes.length != values.length || Arrays.stream(sizes).distinct().count() < 2) {
            throw new IllegalArgumentException("a line needs two different sizes with a value each");
        }
        double least = Arrays.stream(values).map(Math::abs).max().orElse(1) * 1e-6;
        double w = 0;
        double mx = 0;
        double my = 0;
        for (int i = 0; i < sizes.length; i++) {
            double weight = weight(values[i], least);
            w += weight;
            mx += weight * sizes[i];
            my += weight * values[i];
        }
        mx /= w;
        my /= w;
        double xx = 0;
        double xy = 0;
        for (int i = 0; i < sizes.length; i++) {
            double weight = weight(values[i], least);
            xx += weight * (sizes[i] - mx) * (sizes[i] - mx);
            xy += weight * (sizes[i] - mx) * (values[i] - my);
        }
        double slope = xy / xx;
        double base = my - slope * mx;
        double left = 0;
        double worst = 0;
        for (int i = 0; i < sizes.length; i++) {
            double residual = values[i] - base - slope * sizes[i];
            left += weight(values[i], least) * residual * residual;
            worst = Math.max(worst, Math.abs(residual) / Math.max(Math.abs(values[i]), least));
        }
        double error = sizes.length < 3 ? Double.NaN : Math.sqrt(left / (sizes.length - 2) / xx);
        return new Fit(slope, base, error, worst, Arrays.stream(sizes).max().getAsDouble());
    }

    private static double weight(double value, double least) {
        double scale = Math.max(Math.abs(value), Math.max(least, Double.MIN_NORMAL));
        return 1 / (scale * scale);
    }

    /** What the line says at that size. */
    public double at(double size) {
        return base + slope * size;
    }

    /** Whether that size is too far beyond what was measured to be carried without a word. */
    public boolean beyondReach(double size) {
        return size > REACH * largest;
    }
}
