package loadbalancer.toml;

import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Figures that are written with their unit, which is never guessed. */
public enum Units {
    /** Requests per second: {@code "20/s"}, {@code "90/min"}. */
    RATE("a rate with its unit, such as \"200/s\"", Map.of("/s", 1.0, "/min", 1 / 60.0, "/h", 1 / 3600.0)),
    /** Bytes: {@code "64KiB"}, {@code "2MiB"}. */
    SIZE(
            "a size with its unit, such as \"2MiB\"",
            Map.of("B", 1.0, "KiB", 1024.0, "MiB", 1048576.0, "GiB", 1073741824.0)),
    /** Microseconds: {@code "20ms"}. */
    TIME("a time with its unit, such as \"200ms\"", Map.of("us", 1.0, "ms", 1e3, "s", 1e6, "m", 60e6, "h", 3600e6));

    private static final Pattern QUANTITY = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*([A-Za-z/]+)");
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final String form;
    private final Map<String, Double> factors; // to the base unit

    Units(String form, Map<String, Double> factors) {
        this.form = form;
        this.factors = factors;
    }

    /** How such a figure is written, for messages. */
    String form() {
        return form;
    }

    /** The figure in base units; null where the text is none. */
    Double parse(String text) {
        Matcher quantity = QUANTITY.matcher(text.strip());
        Double factor = quantity.matches() ? factors.get(quantity.group(2)) : null;
        return factor == null ? null : Double.valueOf(Double.parseDouble(quantity.group(1)) * factor);
    }

    /** The figure as operators would write it, in the unit that makes it shortest and keeps it whole. */
    public String format(double figure) {
        String best = null;
        for (Map.Entry<String, Double> unit : factors.entrySet()) {
            double value = figure / unit.getValue();
            if (Math.abs(value - Math.rint(value)) <= ROUNDING_TOLERANCE * Math.abs(value)) {
                best = shorter(best, Math.round(value) + unit.getKey());
            }
        }
        return best != null ? best : String.format(Locale.ROOT, "%.3f%s", figure, baseUnit());
    }

    // Of texts of one length the first in the alphabet, so that the result does not depend on the order of the map.
    private static String shorter(String best, String text) {
        if (best == null || text.length() < best.length()) {
            return text;
        }
        return text.length() == best.length() && text.compareTo(best) < 0 ? text : best;
    }

    private String baseUnit() {
        return factors.entrySet().stream()
                .filter(unit -> unit.getValue() == 1)
                .findFirst()
                .orElseThrow()
                .getKey();
    }
}
