package loadbalancer.simulator.report;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Locale;
import loadbalancer.simulator.experiment.Results;

/** The page that leads to those of many experiments: for each what was asked, G of each variant, what fails. */
public final class IndexPage {
    private IndexPage() {}

    /** One experiment in a line for a terminal. */
    public static String line(Results results) {
        StringBuilder out =
                new StringBuilder(String.format("%-16s", results.experiment().name()));
        results.days().keySet().forEach(v -> out.append(String.format("  %s %s", v, Table.cell(results.mean(v, "G")))));
        long fails = results.verdicts().stream().filter(v -> !v.holds()).count();
        return out.append(fails == 0 ? "  holds" : "  " + fails + " expectations FAIL")
                .toString();
    }

    /** Writes the page, which expects the others beside it. */
    public static void write(List<Results> all, File file) throws IOException {
        StringBuilder page = new StringBuilder("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">")
                .append("<title>Experiments</title><style>")
                .append(HtmlReport.STYLE)
                .append("</style></head><body><h1>Experiments</h1><table><tr><th>experiment</th><th>G of each variant")
                .append("</th><th>expectations</th></tr>");
        for (Results results : all) {
            long fails = results.verdicts().stream().filter(v -> !v.holds()).count();
            page.append("<tr><td><a href=\"")
                    .append(results.experiment().name())
                    .append(".html\">")
                    .append(HtmlReport.text(results.experiment().name()))
                    .append("</a><br><span class=\"note\">")
                    .append(HtmlReport.text(results.experiment().question()))
                    .append("</span></td><td>");
            results.days()
                    .keySet()
                    .forEach(v -> page.append(String.format(
                            Locale.ROOT,
                            "%s %s<br>",
                            HtmlReport.text(v),
                            HtmlReport.text(Table.cell(results.mean(v, "G"))))));
            page.append("</td><td class=\"")
                    .append(fails == 0 ? "good\">hold" : "bad\">" + fails + " fail")
                    .append("</td></tr>");
        }
        Files.writeString(file.toPath(), page.append("</table></body></html>\n").toString());
    }
}
