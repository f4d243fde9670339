package loadbalancer.simulator.engine;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * One stream of random numbers. Transcendental functions come from {@link StrictMath}, so that a seed gives the
 * same draws to the last bit on every machine.
 */
public final class RandomStream {
    private final UniformRandomProvider source;
    private double spare = Double.NaN;

    RandomStream(UniformRandomProvider source) {
        this.source = source;
    }

    /** Uniform in [0, 1). */
    public double uniform() {
        return source.nextDouble();
    }

    /** Uniform in [from, to); {@code from} may be the larger one. */
    public double between(double from, double to) {
        return from + (to - from) * source.nextDouble();
    }

    /** A whole number in [0, bound). */
    public int below(int bound) {
        return source.nextInt(bound);
    }

    /** A whole number of 64 bits. */
    public long bits() {
        return source.nextLong();
    }

    /** True with that probability; it always draws. */
    public boolean chance(double probability) {
        return source.nextDouble() < probability;
    }

    /** Exponential with that mean. */
    public double exponential(double mean) {
        return -mean * StrictMath.log(1 - source.nextDouble());
    }

    /** Standard normal (Marsaglia's polar method). */
    public double gaussian() {
        if (!Double.isNaN(spare)) {
            double kept = spare;
            spare = Double.NaN;
            return kept;
        }
        double x;
        double y;
        double s;
        do {
            x = 2 * source.nextDouble() - 1;
            y = 2 * source.nextDouble() - 1;
            s = x * x + y * y;
        } while (s >= 1 || s == 0);
        double factor = Math.sqrt(-2 * StrictMath.log(s) / s);
        spare = y * factor;
        return x * factor;
    }

    /** Lognormal with that mean and coefficient of variation. */
    public double lognormal(double mean, double cv) {
        double variance = StrictMath.log(1 + cv * cv);
        return mean * StrictMath.exp(Math.sqrt(variance) * gaussian() - variance / 2);
    }

    /** Pareto, type I, with that mean and coefficient of variation (its shape is above 2). */
    public double pareto(double mean, double cv) {
        double shape = 1 + Math.sqrt(1 + 1 / (cv * cv));
        double scale = mean * (shape - 1) / shape;
        return scale * StrictMath.pow(1 - source.nextDouble(), -1 / shape);
    }
}
