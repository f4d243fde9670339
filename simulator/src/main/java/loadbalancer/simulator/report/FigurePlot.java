package loadbalancer.simulator.report;

import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.stream.IntStream;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** One plot of several curves over the same figure, as a page by itself. */
public final class FigurePlot {
    private FigurePlot() {}

    /** Writes the page; values that aren't finite are left out of their curve. */
    public static void write(
            File file,
            String title,
            String xName,
            String yName,
            double[] xValues,
            List<String> names,
            List<double[]> curves)
            throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(560)
                .title(title)
                .xAxisTitle(xName)
                .yAxisTitle(yName)
                .build();
        for (int c = 0; c < names.size(); c++) {
            double[] yValues = curves.get(c);
            int[] known = IntStream.range(0, xValues.length)
                    .filter(i -> Double.isFinite(yValues[i]))
                    .toArray();
            chart.addSeries(
                    names.get(c),
                    IntStream.of(known).mapToDouble(i -> xValues[i]).toArray(),
                    IntStream.of(known).mapToDouble(i -> yValues[i]).toArray());
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
        String svg = out.toString(StandardCharsets.UTF_8);
        Files.writeString(
                file.toPath(),
                "<!DOCTYPE html><meta charset=\"utf-8\"><title>" + title + "</title>"
                        + svg.substring(svg.indexOf("<svg")));
    }
}
