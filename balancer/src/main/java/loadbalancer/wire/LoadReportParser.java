package loadbalancer.wire;

import java.util.Arrays;
import java.util.List;
import loadbalancer.policy.LoadReport;

/**
 * Reads load reports of endpoints. Each value has one name on the simulator's wire and another in the header that
 * endpoints send over sockets; this class holds the table of both. Stateless; any thread.
 */
public final class LoadReportParser {
    // The same value stands at the same place of both lists, in the order in which of() takes them.
    private static final List<String> WIRE_NAMES =
            List.of("outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s");
    private static final List<String> HEADER_NAMES = List.of("inflight", "queue", "util", "latency_ms", "qps", "eps");
    private static final String HEADER_PREFIX = "TEXT ";
    private static final double MAX_VALUE = 1e9;
    private static final double MICROS_PER_MILLI = 1000;

    private LoadReportParser() {}

    /** A report's values, none of them known. */
    static double[] unknown() {
        double[] values = new double[WIRE_NAMES.size()];
        Arrays.fill(values, Double.NaN);
        return values;
    }

    /** The place of a value among a report's values, or -1 for a name that means nothing here. */
    static int slot(String name) {
        int slot = WIRE_NAMES.indexOf(name);
        return slot >= 0 ? slot : HEADER_NAMES.indexOf(name);
    }

    /** The report of these values; the latency is in milliseconds here. */
    static LoadReport of(double[] values) {
        return new LoadReport(values[0], values[1], values[2], values[3] * MICROS_PER_MILLI, values[4], values[5]);
    }

    /**
     * Reads a header like {@code TEXT inflight=7, queue=2}. A value that is unknown, malformed or impossible is
     * ignored.
     *
     * @param text the header's value; null where there is none
     * @return null where there is no report, or none of its values is known
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
            return false; // one malformed value does not spoil the others
        }
        // NaN, infinity and negative numbers parse as well, and no endpoint can mean them.
        if (!(value >= 0 && value <= MAX_VALUE)) {
            return false;
        }
        values[slot] = value;
        return true;
    }
}
