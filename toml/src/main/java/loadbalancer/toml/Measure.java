package loadbalancer.toml;

/** What a figure of a file measures: how it is written, and what is possible. */
public enum Measure {
    /** From 0 to 1. */
    SHARE("a share from 0 to 1", 0, 1),
    /** 0 or more. */
    NUMBER("a number of 0 or more", 0, Measure.LARGEST),
    /** Any number. */
    SIGNED("a number", -Measure.LARGEST, Measure.LARGEST),
    /** A time with its unit, read as microseconds. */
    TIME("a time with its unit, such as \"200ms\"", 0, Measure.LARGEST),
    /** A whole number of 1 or more. */
    COUNT("a whole number of 1 or more", 1, Measure.LARGEST_COUNT);

    private static final double LARGEST = 1e12;
    private static final double LARGEST_COUNT = 1e9;

    private final String form;
    private final double min;
    private final double max;

    Measure(String form, double min, double max) {
        this.form = form;
        this.min = min;
        this.max = max;
    }

    /** How such a figure is written, for messages. */
    String form() {
        return form;
    }

    /** What stands for a figure that is at fault, so that reading can go on. */
    double placeholder() {
        return Math.max(1, min);
    }

    boolean allows(double figure) {
        boolean whole = this != COUNT || figure == Math.rint(figure);
        return figure >= min && figure <= max && whole;
    }
}
