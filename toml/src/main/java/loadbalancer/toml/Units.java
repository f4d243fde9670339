package loadbalancer.toml;

import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Figures that are written with their unit: what the unit is, is never guessed. */
public enum Units {
    /** Requests per second: {@code "20/s"}, {@code "90/min"}. */
    RATE("a rate with its unit, such as \"200/s\"", Map.of("/s", 1.0, "/min", 1 / 60.0, "/h", 1 / 3600.0)),
    /** Bytes: {@code "64KiB"}, {@code "2MiB"}. */
    SIZE(
            "a size with its unit, such as \"2MiB\"",
            Map.of("B", 1.0, "KiB", 1024.0, "MiB", 1048576.0, "GiB", 1073741824.0)),
    /** Time, in µs: {@code "20ms"}. */
    TIME("a time with its unit, such as \"200ms\"", Map.of("us", 1.0, "ms", 1e3, "s", 1e6, "m", 60e6, "h", 3600e6));

    private static final Pattern FORM = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*([A-Za-z/]+)");

    private final String form;
    private final Map<String, Double> units;

    Units(String form, Map<String, Double> units) {
        this.form = form;
        this.units = units;
    }

    String form() {
        return form;
    }

    /** The figure in base units; null where the text is none. */
    Double read(String text) {
        Matcher m = FORM.matcher(text.strip());
        Double unit = m.matches() ? units.get(m.group(2)) : null;
        return unit == null ? null : Double.valueOf(Double.parseDouble(m.group(1)) * unit);
    }

    /** The figure as operators would write it, in the largest unit that keeps it a short number. */
    public String write(double figure) {
        String best = null;
        for (Map.Entry<String, Double> u : units.entrySet()) {
            double value = figure / u.getValue();
            if (Math.abs(value - Math.rint(value)) > 1e-9 * Math.abs(value)) {
                continue;
            }
            String text = Math.round(value) + u.getKey();
            boolean shorter = best == null || text.length() < best.length();
            best = shorter || text.length() == best.length() && text.compareTo(best) < 0 ? text : best;
        }
        Map.Entry<String, Double> base = units.entrySet().stream()
                .filter(u -> u.getValue() == 1)
                .findFirst()
                .orElseThrow();
        return best != null ? best : String.format(Locale.ROOT, "%.3f%s", figure / base.getValue(), base.getKey());
    }
}
