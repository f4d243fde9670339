package loadbalancer.simulator.world;

import loadbalancer.simulator.engine.RandomStream;

/** A value that each world draws uniformly between two ends; the first end is the mildest. */
public record Range(double from, double to) {
    /** A range of one fixed value. */
    public static Range of(double value) {
        return new Range(value, value);
    }

    /** Draws a value. A fixed range uses up a draw too, so that fixing one value leaves the others unchanged. */
    public double draw(RandomStream random) {
        return random.between(from, to);
    }

    /** The smaller end. */
    public double min() {
        return Math.min(from, to);
    }

    /** The larger end. */
    public double max() {
        return Math.max(from, to);
    }

    /** The middle of the range. */
    public double midpoint() {
        return (from + to) / 2;
    }
}
