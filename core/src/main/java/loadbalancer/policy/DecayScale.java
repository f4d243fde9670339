package loadbalancer.policy;

/**
 * Exponential decay of many counts at once: instead of each count shrinking at each step, the value that a new event
 * adds grows. A step costs the same however many counts there are.
 *
 * <p>A count's value now is the stored figure divided by {@link #unit()}. Counts decay so that an endpoint that has
 * become slow loses its rank within seconds.
 */
final class DecayScale {
    /** Time constant of all decayed counts. */
    static final double COUNT_DECAY_MICROS = 10_000_000;

    /** Beyond it stored figures are divided by the unit, lest they overflow. */
    private static final double MAX_UNIT = 1e60;

    private double unit = 1;

    /** What one event adds to a count now. */
    double unit() {
        return unit;
    }

    /** Advances the time; returns the fraction of each count that remains after it. */
    double advance(long elapsedMicros) {
        double retained = Math.exp(-elapsedMicros / COUNT_DECAY_MICROS);
        unit /= Math.max(retained, 1 / MAX_UNIT);
        return retained;
    }

    boolean needsRescaling() {
        return unit > MAX_UNIT;
    }

    /** Starts from a unit of 1 again, after all stored figures have been divided by the unit. */
    void reset() {
        unit = 1;
    }
}
