package loadbalancer.simulator.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/**
 * What a scale run came to: as a table, as JSON and as a page by itself.
 *
 * @param host the machine
 * @param commit of the program that ran, as whoever started it says; may be empty
 * @param points of all axes, in the order in which they ran
 * @param refused sizes that did not run, a sentence each
 */
public record FleetResults(FleetPlan plan, Host host, String commit, List<ScalePoint> points, List<String> refused) {
    /** Sizes from which on a line is fitted through a figure. */
    static final int FITTED = 4;

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double MB = 1 << 20;
    private static final int WIDTH = 420;
    private static final int HEIGHT = 130;
    private static final int MARGIN = 10;

    /** Keeps copies. */
    public FleetResults {
        points = List.copyOf(points);
        refused = List.copyOf(refused);
    }

    private Map<String, List<ScalePoint>> byAxis() {
        Map<String, List<ScalePoint>> axes = new LinkedHashMap<>();
        points.forEach(
                p -> axes.computeIfAbsent(p.axis(), a -> new ArrayList<>()).add(p));
        return axes;
    }

    private static List<String> names(List<ScalePoint> of) {
        TreeSet<String> names = new TreeSet<>();
        of.forEach(p -> names.addAll(p.figures().keySet()));
        return List.copyOf(names);
    }

    private static List<ScalePoint> with(List<ScalePoint> of, String figure) {
        return of.stream()
                .filter(p -> Double.isFinite(p.figures().getOrDefault(figure, Double.NaN)))
                .toList();
    }

    /** The line through a figure; null where fewer than four sizes have it, or where it is nought at all. */
    static Fit fit(List<ScalePoint> of, String figure) {
        List<ScalePoint> has = with(of, figure);
        boolean some = has.stream().anyMatch(p -> p.figures().get(figure) != 0);
        if (has.size() < FITTED || !some || figure.equals(FleetRun.LOAD)) {
            return null;
        }
        return Fit.of(
                has.stream().mapToDouble(ScalePoint::size).toArray(),
                has.stream().mapToDouble(p -> p.figures().get(figure)).toArray());
    }

    private String machine() {
        return String.format(
                Locale.ROOT,
                "%d cores, %.0f MB of memory, seed %d%s",
                host.cores(),
                host.memory() / MB,
                plan.seed(),
                commit.isEmpty() ? "" : ", commit " + commit);
    }

    /** The table: a row for each figure, a column for each size, and the line through them. */
    public String table() {
        StringBuilder out = new StringBuilder(plan.name())
                .append(": ")
                .append(plan.question())
                .append('\n')
                .append(machine())
                .append('\n');
        byAxis().forEach((axis, of) -> {
            out.append(String.format("%n%-42s", axis));
            of.forEach(p -> out.append(String.format("%13d", p.size())));
            out.append(String.format("%14s%13s%13s%9s%n", "slope", "error", "at 0", "worst"));
            for (String name : names(of)) {
                out.append(String.format("%-42s", name));
                of.forEach(
                        p -> out.append(String.format("%13s", number(p.figures().get(name)))));
                Fit fit = fit(of, name);
                if (fit != null) {
                    out.append(String.format(
                            Locale.ROOT,
                            "%14s%13s%13s%8.0f%%",
                            number(fit.slope()),
                            number(fit.slopeError()),
                            number(fit.base()),
                            fit.worst() * 100));
                }
                out.append('\n');
            }
        });
        out.append(String.format(
                "%nslopes are per one of the axis; beyond %.0f times the largest size measured they" + " are a guess%n",
                Fit.REACH));
        points.forEach(p -> p.missed().forEach(m -> out.append("not reached, ")
                .append(p.axis())
                .append(' ')
                .append(p.size())
                .append(": ")
                .append(m)
                .append('\n')));
        refused.forEach(r -> out.append("refused, ").append(r).append('\n'));
        return out.toString();
    }

    private static String number(Double value) {
        if (value == null || value.isNaN()) {
            return "-";
        }
        double size = Math.abs(value);
        return value == Math.rint(value) && size < 1e12
                ? String.format(Locale.ROOT, "%.0f", value)
                : size >= 1000
                        ? String.format(Locale.ROOT, "%.0f", value)
                        : size >= 10
                                ? String.format(Locale.ROOT, "%.1f", value)
                                : size >= 0.01
                                        ? String.format(Locale.ROOT, "%.3f", value)
                                        : String.format(Locale.ROOT, "%.2e", value);
    }

    /** Writes all of it as JSON. */
    public void write(Path file) throws IOException {
        MAPPER.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), json());
    }

    ObjectNode json() {
        ObjectNode root = MAPPER.createObjectNode()
                .put("experiment", plan.name())
                .put("question", plan.question())
                .put("seed", plan.seed())
                .put("commit", commit);
        root.putObject("machine")
                .put("cores", host.cores())
                .put("memory_bytes", host.memory())
                .put("heap_most_bytes", host.heap())
                .put("descriptors", host.descriptors());
        root.set("plan", MAPPER.valueToTree(plan));
        ObjectNode axes = root.putObject("axes");
        byAxis().forEach((axis, of) -> {
            ObjectNode node = axes.putObject(axis);
            ArrayNode all = node.putArray("points");
            for (ScalePoint p : of) {
                ObjectNode point = all.addObject().put("size", p.size());
                point.set("figures", MAPPER.valueToTree(p.figures()));
                point.set("missed", MAPPER.valueToTree(p.missed()));
            }
            ObjectNode fits = node.putObject("fits");
            for (String name : names(of)) {
                Fit fit = fit(of, name);
                if (fit != null) {
                    fits.putObject(name)
                            .put("slope", fit.slope())
                            .put("slope_error", fit.slopeError())
                            .put("at_nought", fit.base())
                            .put("worst_residual_share", fit.worst())
                            .put("largest_size", fit.largest())
                            .put("not_beyond", fit.largest() * Fit.REACH);
                }
            }
        });
        refused.forEach(root.putArray("refused")::add);
        return root;
    }

    /** A page by itself: the tables, and a curve for each figure over the sizes, both scales logarithmic. */
    public String html() {
        StringBuilder out = new StringBuilder("<!doctype html><meta charset=utf-8><title>")
                .append(escape(plan.name()))
                .append("</title><style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 8px;text-align:right}"
                        + "td:first-child,th:first-child{text-align:left}tr:nth-child(even){background:#f4f4f4}"
                        + ".c{display:inline-block;margin:6px 14px 6px"
                        + " 0}svg{background:#fafafa;display:block}</style><h1>")
                .append(escape(plan.name()))
                .append("</h1><p>")
                .append(escape(plan.question()))
                .append("</p><p>")
                .append(escape(machine()))
                .append("</p>");
        byAxis().forEach((axis, of) -> {
            out.append("<h2>").append(escape(axis)).append("</h2><table><tr><th>figure</th>");
            of.forEach(p -> out.append("<th>").append(p.size()).append("</th>"));
            out.append("<th>slope</th><th>error</th><th>at 0</th><th>worst residual</th></tr>\n");
            for (String name : names(of)) {
                out.append("<tr><td>").append(escape(name)).append("</td>");
                of.forEach(p ->
                        out.append("<td>").append(number(p.figures().get(name))).append("</td>"));
                Fit fit = fit(of, name);
                out.append(
                                fit == null
                                        ? "<td></td><td></td><td></td><td></td>"
                                        : String.format(
                                                Locale.ROOT,
                                                "<td>%s</td><td>%s</td><td>%s</td><td>%.0f%%</td>",
                                                number(fit.slope()),
                                                number(fit.slopeError()),
                                                number(fit.base()),
                                                fit.worst() * 100))
                        .append("</tr>\n");
            }
            out.append("</table>");
            names(of).forEach(name -> curve(out, name, with(of, name)));
        });
        out.append("<h2>Not reached, and refused</h2><ul>");
        points.forEach(p -> p.missed().forEach(m -> out.append("<li>")
                .append(p.axis())
                .append(' ')
                .append(p.size())
                .append(": ")
                .append(escape(m))
                .append("</li>")));
        refused.forEach(r -> out.append("<li>refused, ").append(escape(r)).append("</li>"));
        return out.append("</ul><p>Slopes are per one of the axis; beyond ")
                .append((int) Fit.REACH)
                .append(" times the largest size measured they are a guess.</p>\n")
                .toString();
    }

    private static void curve(StringBuilder out, String name, List<ScalePoint> of) {
        List<ScalePoint> shown =
                of.stream().filter(p -> p.figures().get(name) > 0).toList();
        if (shown.size() < 2) {
            return; // nothing to see, and nought has no logarithm
        }
        double left = Math.log(shown.get(0).size());
        double right = Math.log(shown.get(shown.size() - 1).size());
        double low = shown.stream()
                .mapToDouble(p -> Math.log(p.figures().get(name)))
                .min()
                .orElse(0);
        double high = Math.max(
                low + 0.1,
                shown.stream()
                        .mapToDouble(p -> Math.log(p.figures().get(name)))
                        .max()
                        .orElse(1));
        StringBuilder line = new StringBuilder();
        StringBuilder dots = new StringBuilder();
        for (ScalePoint point : shown) {
            double x = MARGIN + (Math.log(point.size()) - left) / (right - left) * (WIDTH - 2 * MARGIN);
            double y = HEIGHT
                    - MARGIN
                    - (Math.log(point.figures().get(name)) - low) / (high - low) * (HEIGHT - 2 * MARGIN);
            line.append(String.format(Locale.ROOT, "%.1f,%.1f ", x, y));
            dots.append(String.format(
                    Locale.ROOT,
                    "<circle cx=%.1f cy=%.1f r=3><title>%d: %s</title></circle>",
                    x,
                    y,
                    point.size(),
                    number(point.figures().get(name))));
        }
        out.append("<div class=c>")
                .append(escape(name))
                .append("<svg width=")
                .append(WIDTH)
                .append(" height=")
                .append(HEIGHT)
                .append("><polyline fill=none stroke=#47a points=\"")
                .append(line)
                .append("\"/>")
                .append(dots)
                .append("</svg></div>\n");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
