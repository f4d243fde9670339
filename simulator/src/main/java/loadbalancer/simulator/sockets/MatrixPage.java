package loadbalancer.simulator.sockets;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The kill matrix as a page by itself: the table, and for each row a strip with a cell for each byte. */
public final class MatrixPage {
    private MatrixPage() {}

    /** The page's text. */
    public static String of(List<KillMatrix.Result> results) {
        StringBuilder out = new StringBuilder("<!doctype html><meta charset=utf-8><title>Kill matrix</title><style>"
                + "body{font:14px sans-serif;margin:2em;max-width:1200px}td,th{padding:2px 8px;text-align:right}"
                + "th:nth-child(-n+3),td:nth-child(-n+3){text-align:left}"
                + ".s{display:flex;height:14px;margin:1px 0 6px}"
                + ".s i{flex:1;min-width:1px}.a{background:#4a9}.b{background:#e9b44c}.c{background:#bbb}"
                + ".d{background:#69c}.w{background:#d22}</style><h1>Kill matrix</h1>"
                + "<p>Each request's connection was broken once at each byte. Every book-seat must have"
                + " run at most once"
                + " and have got one answer.</p><table>");
        List<String[]> rows = KillMatrix.table(results);
        for (int i = 0; i < rows.size(); i++) {
            String cell = i == 0 ? "th" : "td";
            out.append("<tr>");
            for (String value : rows.get(i)) {
                out.append('<')
                        .append(cell)
                        .append('>')
                        .append(value)
                        .append("</")
                        .append(cell)
                        .append('>');
            }
            out.append("</tr>\n");
        }
        out.append("</table><h2>Byte by byte</h2><p>From the first byte to the last: <span class=a>&emsp;</span> served"
                + " <span class=b>&emsp;</span> failed (502) <span class=d>&emsp;</span> refused as harmless (503)"
                + " <span class=c>&emsp;</span> no answer <span class=w>&emsp;</span> a rule broken."
                + " Hover for the case."
                + "</p>");
        Map<String, List<KillMatrix.Result>> strips = new LinkedHashMap<>();
        for (KillMatrix.Result result : results) {
            strips.computeIfAbsent(
                            result.of().kind() + ", "
                                    + KillMatrix.word(result.of().side()) + ", "
                                    + KillMatrix.word(result.of().what()),
                            k -> new ArrayList<>())
                    .add(result);
        }
        strips.forEach((name, cells) -> {
            out.append("<div>").append(name).append("</div><div class=s>");
            for (KillMatrix.Result result : cells) {
                out.append("<i class=")
                        .append(
                                result.wrong() != null
                                        ? "w"
                                        : switch (result.client().status()) {
                                            case 200 -> "a";
                                            case 502 -> "b";
                                            case 503 -> "d";
                                            default -> "c";
                                        })
                        .append(" title=\"byte ")
                        .append(result.of().offset() < 0 ? "end" : result.of().offset())
                        .append(": ran ")
                        .append(result.ran())
                        .append(", ")
                        .append(result.client().status())
                        .append(' ')
                        .append(result.client().end())
                        .append(", ")
                        .append(result.client().micros() / 1000)
                        .append(" ms\"></i>");
            }
            out.append("</div>\n");
        });
        return out.toString();
    }
}
