package loadbalancer.simulator.world;

import loadbalancer.simulator.engine.RandomStream;

/** A figure that each world draws anew, uniformly between two ends; the first end is the mildest. */
public record Range(double from, double to) {
    /** One value, always the same. */
    public static Range of(double value) {
        return new Range(value, value);
    }

    /** A draw; a fixed range draws too, so that fixing one figure leaves the others as they were. */
    public double draw(RandomStream random) {
        return random.between(from, to);
    }

    /** The least value. */
    public double min() {
        return Math.min(from, to);
    }

    /** The largest value. */
    public double max() {
        return Math.max(from, to);
    }

    /** The middle. */
    public double midpoint() {
        return (from + to) / 2;
    }
}
