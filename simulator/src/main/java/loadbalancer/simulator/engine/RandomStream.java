package loadbalancer.simulator.engine;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * One stream of random numbers. Transcendental functions come from {@link StrictMath}, so that a seed gives
 * bit-identical draws on every machine.
 */
public final class RandomStream {
    private final UniformRandomProvider source;
    private double spareGaussian = Double.NaN;

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

    /** Uniform integer in [0, bound). */
    public int below(int bound) {
        return source.nextInt(bound);
    }

    /** 64 uniformly random bits. */
    public long bits() {
        return source.nextLong();
    }

    /** True with the given probability. Always consumes one draw, whatever the probability. */
    public boolean chance(double probability) {
        return source.nextDouble() < probability;
    }

    /** Exponential with the given mean. */
    public double exponential(double mean) {
        return -mean * StrictMath.log(1 - source.nextDouble());
    }

    /** Standard normal (Marsaglia's polar method). */
    public double gaussian() {
        if (!Double.isNaN(spareGaussian)) {
            double kept = spareGaussian;
            spareGaussian = Double.NaN;
            return kept;
        }
        double x;
        double y;
        double radiusSquared;
        do {
            x = 2 * source.nextDouble() - 1;
            y = 2 * source.nextDouble() - 1;
            radiusSquared = x * x + y * y;
        } while (radiusSquared >= 1 || radiusSquared == 0);
        double factor = Math.sqrt(-2 * StrictMath.log(radiusSquared) / radiusSquared);
        spareGaussian = y * factor;
        return x * factor;
    }

    /** Lognormal with the given mean and coefficient of variation. */
    public double lognormal(double mean, double cv) {
        double logVariance = StrictMath.log(1 + cv * cv);
        return mean * StrictMath.exp(Math.sqrt(logVariance) * gaussian() - logVariance / 2);
    }

    /** Pareto, type I, with the given mean and coefficient of variation (the shape parameter is always above 2). */
    public double pareto(double mean, double cv) {
        double shape = 1 + Math.sqrt(1 + 1 / (cv * cv));
        double scale = mean * (shape - 1) / shape;
        return scale * StrictMath.pow(1 - source.nextDouble(), -1 / shape);
    }
}
