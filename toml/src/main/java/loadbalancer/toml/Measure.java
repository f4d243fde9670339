package loadbalancer.toml;

/** Kind of a number in a file: how it is written, and its range. */
public enum Measure {
    /** A fraction from 0 to 1. */
    SHARE("a share from 0 to 1", 0, 1),
    /** A number of 0 or more. */
    NUMBER("a number of 0 or more", 0, Measure.MAX_NUMBER),
    /** Any number. */
    SIGNED("a number", -Measure.MAX_NUMBER, Measure.MAX_NUMBER),
    /** A time with its unit, read as microseconds. */
    TIME("a time with its unit, such as \"200ms\"", 0, Measure.MAX_NUMBER),
    /** A whole number of 1 or more. */
    COUNT("a whole number of 1 or more", 1, Measure.MAX_COUNT);

    private static final double MAX_NUMBER = 1e12;
    private static final double MAX_COUNT = 1e9;

    private final String description;
    private final double min;
    private final double max;

    Measure(String description, double min, double max) {
        this.description = description;
        this.min = min;
        this.max = max;
    }

    /** Describes how a value is written, for messages. */
    String description() {
        return description;
    }

    /** Returns a value that replaces an invalid one, so that reading can continue. */
    double placeholder() {
        return Math.max(1, min);
    }

    boolean allows(double value) {
        boolean whole = this != COUNT || value == Math.rint(value);
        return value >= min && value <= max && whole;
    }
}
