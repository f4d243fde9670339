package loadbalancer.toml;

import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Quantities that must be written with a unit. */
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

    private final String description;
    private final Map<String, Double> factors; // of each unit, relative to the base unit

    Units(String description, Map<String, Double> factors) {
        this.description = description;
        this.factors = factors;
    }

    /** Describes how a quantity is written, for messages. */
    String description() {
        return description;
    }

    /** Returns a quantity in base units; null if the text is not a valid quantity. */
    Double parse(String text) {
        Matcher matcher = QUANTITY.matcher(text.strip());
        Double factor = matcher.matches() ? factors.get(matcher.group(2)) : null;
        return factor == null ? null : Double.valueOf(Double.parseDouble(matcher.group(1)) * factor);
    }

    /** Formats a quantity in the unit that gives the shortest text with a whole number. */
    public String format(double quantity) {
        String shortest = null;
        for (Map.Entry<String, Double> unit : factors.entrySet()) {
            double value = quantity / unit.getValue();
            if (Math.abs(value - Math.rint(value)) <= ROUNDING_TOLERANCE * Math.abs(value)) {
                shortest = shorter(shortest, Math.round(value) + unit.getKey());
            }
        }
        return shortest != null ? shortest : String.format(Locale.ROOT, "%.3f%s", quantity, baseUnit());
    }

    // Of two texts of the same length, takes the alphabetically first, so that the order of the map does not matter.
    private static String shorter(String shortest, String text) {
        if (shortest == null || text.length() < shortest.length()) {
            return text;
        }
        return text.length() == shortest.length() && text.compareTo(shortest) < 0 ? text : shortest;
    }

    private String baseUnit() {
        return factors.entrySet().stream()
                .filter(unit -> unit.getValue() == 1)
                .findFirst()
                .orElseThrow()
                .getKey();
    }
}
