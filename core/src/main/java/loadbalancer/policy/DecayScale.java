package loadbalancer.policy;

/**
 * Exponential decay of many counts at once. Instead of shrinking every count at each step, it increases the value that
 * a new event adds, so that the cost of a step doesn't depend on the number of counts.
 *
 * <p>The current value of a count is its stored value divided by {@link #unit()}. Counts decay so that an endpoint that
 * has become slow loses its rank within seconds.
 */
final class DecayScale {
    /** Time constant of all decayed counts. */
    static final double COUNT_DECAY_MICROS = 10_000_000;

    /** Above this unit, stored values must be divided by it before they overflow. */
    private static final double MAX_UNIT = 1e60;

    private double unit = 1;

    /** The value that one event adds to a count now. */
    double unit() {
        return unit;
    }

    /** Advances the time and returns the fraction of each count that remains. */
    double advance(long elapsedMicros) {
        double retained = Math.exp(-elapsedMicros / COUNT_DECAY_MICROS);
        unit /= Math.max(retained, 1 / MAX_UNIT);
        return retained;
    }

    boolean needsRescaling() {
        return unit > MAX_UNIT;
    }

    /** Sets the unit back to 1, after all stored values have been divided by the unit. */
    void reset() {
        unit = 1;
    }
}
