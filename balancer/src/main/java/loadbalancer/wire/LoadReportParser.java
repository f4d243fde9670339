package loadbalancer.wire;

import java.util.Arrays;
import java.util.List;
import loadbalancer.policy.LoadReport;

/**
 * Reads load reports of endpoints. Each value has one name on the simulator's wire and another in the HTTP header that
 * endpoints send; this class holds both names. Stateless; safe for use by any thread.
 */
public final class LoadReportParser {
    // Both lists name the values in the order in which of() takes them.
    private static final List<String> WIRE_NAMES =
            List.of("outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s");
    private static final List<String> HEADER_NAMES = List.of("inflight", "queue", "util", "latency_ms", "qps", "eps");
    private static final String HEADER_PREFIX = "TEXT ";
    private static final double MAX_VALUE = 1e9;
    private static final double MICROS_PER_MILLI = 1000;

    private LoadReportParser() {}

    /** Returns the values of a report, all of them unknown (NaN). */
    static double[] unknown() {
        double[] values = new double[WIRE_NAMES.size()];
        Arrays.fill(values, Double.NaN);
        return values;
    }

    /** Returns the index of a value in a report's values; -1 if the name is unknown. */
    static int slot(String name) {
        int slot = WIRE_NAMES.indexOf(name);
        return slot >= 0 ? slot : HEADER_NAMES.indexOf(name);
    }

    /**
     * Returns a report of values in the order of {@link #WIRE_NAMES}. The latency is given in milliseconds and stored
     * in microseconds.
     */
    static LoadReport of(double[] values) {
        return new LoadReport(values[0], values[1], values[2], values[3] * MICROS_PER_MILLI, values[4], values[5]);
    }

    /**
     * Parses a header such as {@code TEXT inflight=7, queue=2}. Values that are unknown, malformed or out of range are
     * ignored.
     *
     * @param text the header's value; null if there is no header
     * @return the report; null if there is none or if none of its values is valid
     */
    public static LoadReport parse(String text) {
        if (text == null) {
            return null;
        }
        double[] values = unknown();
        boolean anyKnown = false;
        String pairs = text.strip();
        if (pairs.startsWith(HEADER_PREFIX)) {
            pairs = pairs.substring(HEADER_PREFIX.length());
        }
        for (String pair : pairs.split(",")) {
            anyKnown |= parsePair(pair, values);
        }
        return anyKnown ? of(values) : null;
    }

    private static boolean parsePair(String pair, double[] values) {
        int separator = pair.indexOf('=');
        int slot = separator < 0 ? -1 : slot(pair.substring(0, separator).strip());
        if (slot < 0) {
            return false;
        }
        double value;
        try {
            value = Double.parseDouble(pair.substring(separator + 1).strip());
        } catch (NumberFormatException e) {
            return false; // a malformed value does not invalidate the others
        }
        // NaN, infinity and negative numbers can be parsed, but are no valid load.
        if (!(value >= 0 && value <= MAX_VALUE)) {
            return false;
        }
        values[slot] = value;
        return true;
    }
}
