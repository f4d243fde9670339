package loadbalancer.simulator.report;

import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import loadbalancer.simulator.experiment.Expectation;
import loadbalancer.simulator.experiment.Results;
import loadbalancer.simulator.rules.RuleViolation;
import loadbalancer.simulator.rules.Score;
import loadbalancer.simulator.stats.Interval;
import loadbalancer.simulator.world.Timeline;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Results as one page that needs no other file: what was asked, the answer, figures and plots. */
public final class HtmlReport {
    private static final int MOST_ROWS = 40; // of a heat map
    private static final double QUEUE_FULL = 40; // requests at which a cell is darkest
    private static final Color[] COLOURS = {
        new Color(0x1b6ca8),
        new Color(0xd1495b),
        new Color(0x3a8d55),
        new Color(0xedae49),
        new Color(0x6b4c9a),
        new Color(0x666666),
        new Color(0x00a6a6),
        new Color(0x9c6644)
    };
    static final String STYLE =
            """
        body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 1080px; color: #222; padding: 0 1em }
        h1 { font-size: 1.5em } h2 { font-size: 1.15em; margin-top: 2em; border-bottom: 1px solid #ccc }
        table { border-collapse: collapse; font-variant-numeric: tabular-nums }
        td, th { padding: .2em .8em; text-align: right; border-bottom: 1px solid #e5e5e5 }
        th:first-child, td:first-child { text-align: left }
        .good { color: #1d6b35; font-weight: bold } .bad { color: #b3202c; font-weight: bold }
        .note { color: #666 } pre { background: #f6f6f6; padding: .8em; overflow-x: auto }
        svg { max-width: 100%; height: auto }
        """;

    private final Results results;
    private final List<String> variants;
    private final StringBuilder page = new StringBuilder();

    private HtmlReport(Results results) {
        this.results = results;
        this.variants = List.copyOf(results.days().keySet());
    }

    /** Writes the page. */
    public static void write(Results results, File file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        Files.writeString(file.toPath(), new HtmlReport(results).page());
    }

    private String page() throws IOException {
        page.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(text(results.experiment().name()))
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body><h1>")
                .append(text(results.experiment().name()))
                .append("</h1><p>")
                .append(text(results.experiment().question()))
                .append("</p>");
        answer();
        figures();
        int seed = 0;
        page.append("<h2>One day in detail (seed ")
                .append(results.experiment().firstSeed())
                .append(")</h2>")
                .append("<p class=\"note\">Shaded: ")
                .append(text(faultIntervals(seed)))
                .append("</p>");
        overTime(
                "Worth answered in time, as a share of what was asked for",
                "share",
                seed,
                s -> s.priorityWeight(),
                1.05);
        overTime("Attempts sent per second", "attempts / s", seed, s -> doubles(s.attempts()), Double.NaN);
        overTime("Refused per second", "refusals / s", seed, s -> doubles(s.refusals()), Double.NaN);
        latencies(seed);
        for (String v : variants) {
            heat(v, results.days().get(v).get(seed).series());
        }
        for (String v : variants) {
            rules(v);
        }
        return page.append("</body></html>\n").toString();
    }

    private void answer() {
        page.append("<h2>The answer</h2><table><tr><th>expectation</th><th>found</th><th></th></tr>");
        for (Expectation.Verdict verdict : results.verdicts()) {
            page.append("<tr><td><code>")
                    .append(text(verdict.expectation().text()))
                    .append("</code></td><td>")
                    .append(text(verdict.found()))
                    .append("</td><td class=\"")
                    .append(verdict.holds() ? "good\">holds" : "bad\">fails")
                    .append("</td></tr>");
        }
        page.append("</table>");
        for (String v : variants.subList(1, variants.size())) {
            Interval interval = results.difference("G", variants.get(0), v);
            page.append("<p>G of <b>")
                    .append(text(variants.get(0)))
                    .append("</b> over <b>")
                    .append(text(v))
                    .append("</b>, on the same ")
                    .append(results.experiment().seeds())
                    .append(" seeds: <b>")
                    .append(text(Table.cell(interval)))
                    .append("</b>")
                    .append(
                            Double.isNaN(interval.halfWidth())
                                    ? ""
                                    : interval.holds(0) ? ", which is no difference that these seeds can show." : ".")
                    .append("</p>");
        }
    }

    private void figures() {
        page.append("<h2>Figures</h2><p class=\"note\">Mean over the seeds with the half width of its 95% interval."
                + " Shares are from 0 to 1; rows that are 0 throughout are left out.</p><table><tr><th></th>");
        variants.forEach(v -> page.append("<th>").append(text(v)).append("</th>"));
        page.append("</tr>");
        for (String f : results.figures()) {
            if (variants.stream()
                            .allMatch(v -> Arrays.stream(results.values(v, f)).allMatch(xValues -> xValues == 0))
                    && !f.equals("rules.broken")) {
                continue;
            }
            page.append("<tr><td>").append(text(f)).append("</td>");
            for (String v : variants) {
                boolean bad = f.equals("rules.broken")
                        && Arrays.stream(results.values(v, f)).sum() > 0;
                page.append(bad ? "<td class=\"bad\">" : "<td>")
                        .append(text(Table.cell(results.mean(v, f))))
                        .append("</td>");
            }
            page.append("</tr>");
        }
        page.append("</table>");
    }

    private Score.Series series(String variant, int seed) {
        return results.days().get(variant).get(seed).series();
    }

    private String faultIntervals(int seed) {
        List<Timeline.FaultInterval> faultIntervals =
                series(variants.get(0), seed).faultIntervals();
        return faultIntervals.isEmpty()
                ? "nothing goes wrong"
                : String.join(
                        ", ",
                        faultIntervals.stream()
                                .map(s -> String.format(
                                        Locale.ROOT, "%s %.0f-%.0f s", s.kind(), s.from() / 1e6, s.to() / 1e6))
                                .toList());
    }

    private interface Values {
        double[] of(Score.Series series);
    }

    private void overTime(String title, String unit, int seed, Values values, double top) throws IOException {
        XYChart chart = chart(title, "seconds of the day", unit);
        double most = 0;
        for (String v : variants) {
            most = Math.max(
                    most, Arrays.stream(values.of(series(v, seed))).max().orElse(1));
        }
        double height = Double.isNaN(top) ? Math.max(1, most * 1.05) : top;
        int shade = 0;
        for (Timeline.FaultInterval interval : series(variants.get(0), seed).faultIntervals()) {
            double from = interval.from() / 1e6;
            double to = Math.max(from + 0.1, interval.to() / 1e6);
            var area = chart.addSeries(
                    "shade" + shade++, new double[] {from, from, to, to}, new double[] {0, height, height, 0});
            area.setXYSeriesRenderStyle(org.knowm.xchart.XYSeries.XYSeriesRenderStyle.Area);
            area.setFillColor(new Color(120, 120, 120, 26));
            area.setLineColor(new Color(0, 0, 0, 0));
            area.setMarker(SeriesMarkers.NONE);
            area.setShowInLegend(false);
        }
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(height).setXAxisMin(0.0);
        for (int i = 0; i < variants.size(); i++) {
            double[] yValues = values.of(series(variants.get(i), seed));
            double[] xValues =
                    IntStream.range(0, yValues.length).mapToDouble(n -> n + 0.5).toArray();
            line(chart, variants.get(i), xValues, yValues, i);
        }
        put(chart);
    }

    private void latencies(int seed) throws IOException {
        List<String> classes = results.experiment().plan().classes().stream()
                .map(k -> k.name())
                .toList();
        double[] xValues = IntStream.rangeClosed(1, 99).mapToDouble(i -> i).toArray();
        for (int c = 0; c < classes.size(); c++) {
            XYChart chart = chart("Latency of " + classes.get(c) + ", from the client's first try", "percentile", "ms");
            for (int i = 0; i < variants.size(); i++) {
                double[] all = series(variants.get(i), seed).percentiles().get(c);
                line(chart, variants.get(i), xValues, Arrays.copyOfRange(all, 1, 100), i);
            }
            chart.getStyler().setYAxisMin(0.0);
            put(chart);
        }
    }

    private static XYChart chart(String title, String xValues, String yValues) {
        XYChart chart = new XYChartBuilder()
                .width(1000)
                .height(300)
                .title(title)
                .xAxisTitle(xValues)
                .yAxisTitle(yValues)
                .theme(Styler.ChartTheme.XChart)
                .build();
        chart.getStyler()
                .setChartBackgroundColor(Color.WHITE)
                .setLegendPosition(Styler.LegendPosition.OutsideE)
                .setLegendBorderColor(Color.WHITE)
                .setPlotBorderVisible(false);
        return chart;
    }

    private static void line(XYChart chart, String name, double[] xValues, double[] yValues, int number) {
        chart.addSeries(name, xValues, yValues)
                .setMarker(SeriesMarkers.NONE)
                .setLineColor(COLOURS[number % COLOURS.length])
                .setLineWidth(1.8f);
    }

    private void put(XYChart chart) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
        String svg = out.toString(StandardCharsets.UTF_8);
        page.append(svg.substring(svg.indexOf("<svg"))
                .replaceFirst("width=\"([0-9.]+)(?:mm|px)?\" height=\"([0-9.]+)(?:mm|px)?\"", "width=\"1000\""));
    }

    // Upstream x time: how many requests each holds. Cells are plain rectangles, runs of one shade joined.
    private void heat(String variant, Score.Series series) {
        int all = series.held().isEmpty() ? 0 : series.held().get(series.held().size() - 1).length;
        int rows = Math.min(MOST_ROWS, all);
        int columns = series.held().size();
        if (rows == 0) {
            return;
        }
        int wide = Math.max(2, 820 / columns);
        double sent = Math.max(
                1, series.sentTo().values().stream().mapToLong(Long::longValue).sum());
        int high = 12;
        page.append("<h3>")
                .append(text(variant))
                .append(": requests in each upstream, second by second</h3>")
                .append("<p class=\"note\">White: none; darkest: ")
                .append((int) QUEUE_FULL)
                .append(" or more; grey: not running. On the right its share of all attempts.")
                .append(rows < all ? " The first " + rows + " of " + all + "." : "")
                .append("</p><svg xmlns=\"http://www.w3.org/2000/svg\" width=\"")
                .append(130 + wide * columns)
                .append("\" height=\"")
                .append(rows * high + 20)
                .append("\">");
        for (int row = 0; row < rows; row++) {
            page.append(String.format(
                    Locale.ROOT,
                    "<text x=\"0\" y=\"%d\" font-size=\"10\">%s</text>",
                    row * high + 10,
                    text(series.upstreams().get(row))));
            page.append(String.format(
                    Locale.ROOT,
                    "<text x=\"%d\" y=\"%d\" font-size=\"10\">%.1f%%</text>",
                    76 + wide * columns,
                    row * high + 10,
                    100 * series.sentTo().getOrDefault(series.upstreams().get(row), 0L) / sent));
            int from = 0;
            for (int c = 1; c <= columns; c++) {
                String shade = shade(series.held().get(from), row);
                if (c == columns || !shade(series.held().get(c), row).equals(shade)) {
                    page.append(String.format(
                            Locale.ROOT,
                            "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"%s\"/>",
                            70 + from * wide,
                            row * high,
                            (c - from) * wide,
                            high - 1,
                            shade));
                    from = c;
                }
            }
        }
        for (int second = 0; second <= columns; second += 10) {
            page.append(String.format(
                    Locale.ROOT,
                    "<text x=\"%d\" y=\"%d\" font-size=\"10\">%d s</text>",
                    70 + second * wide,
                    rows * high + 14,
                    second));
        }
        page.append("</svg>");
    }

    private static String shade(int[] held, int row) {
        if (row >= held.length || held[row] < 0) {
            return "#cccccc";
        }
        double part = Math.sqrt(Math.min(1, held[row] / QUEUE_FULL));
        int step = (int) Math.round(part * 12);
        return String.format("#%02x%02x%02x", 255 - step * 6, 255 - step * 16, 255 - step * 20);
    }

    private void rules(String variant) {
        List<RuleViolation> broken = results.violations(variant);
        if (broken.isEmpty()) {
            return;
        }
        page.append("<h2>Rules that ").append(text(variant)).append(" broke</h2><pre>");
        for (RuleViolation violation : broken.subList(0, Math.min(20, broken.size()))) {
            page.append(text(String.format(
                    Locale.ROOT,
                    "%s at %.6f s: %s: %s%n",
                    violation.rule(),
                    violation.at() / 1e6,
                    violation.subject(),
                    violation.description())));
            violation
                    .events()
                    .forEach(step -> page.append("    ").append(text(step)).append('\n'));
        }
        page.append("</pre>");
    }

    private static double[] doubles(long[] values) {
        return Arrays.stream(values).asDoubleStream().toArray();
    }

    static String text(String raw) {
        return raw.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
