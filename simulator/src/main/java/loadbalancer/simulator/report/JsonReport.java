package loadbalancer.simulator.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.util.List;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import loadbalancer.simulator.experiment.Expectation;
import loadbalancer.simulator.experiment.Results;
import loadbalancer.simulator.rules.Day;
import loadbalancer.simulator.rules.RuleViolation;
import loadbalancer.simulator.rules.Score;
import loadbalancer.simulator.stats.Interval;

/** Results as JSON: nothing in it depends on the machine, the time of day or the number of threads. */
public final class JsonReport {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double THOUSAND = 1_000;

    private JsonReport() {}

    /** Writes {@code results} to {@code file}. */
    public static void write(Results results, File file) throws IOException {
        MAPPER.writerWithDefaultPrettyPrinter().writeValue(file, of(results));
    }

    static ObjectNode of(Results r) {
        ObjectNode root = MAPPER.createObjectNode()
                .put("experiment", r.experiment().name())
                .put("question", r.experiment().question())
                .put("first_seed", r.experiment().firstSeed())
                .put("seeds", r.experiment().seeds());
        List<String> variants = List.copyOf(r.days().keySet());
        ObjectNode all = root.putObject("variants");
        for (String v : variants) {
            ObjectNode node = all.putObject(v);
            ObjectNode figures = node.putObject("figures");
            for (String f : r.figures()) {
                ObjectNode figure = interval(figures.putObject(f), r.mean(v, f));
                ArrayNode values = figure.putArray("values");
                for (double value : r.values(v, f)) {
                    values.add(value);
                }
                if (!v.equals(variants.get(0))) {
                    interval(figure.putObject("more_than_first"), r.difference(f, v, variants.get(0)));
                }
            }
            ArrayNode days = node.putArray("days");
            for (Day day : r.days().get(v)) {
                series(days.addObject(), day.series());
            }
            ArrayNode broken = node.putArray("broken");
            for (RuleViolation b : r.violations(v)) {
                ObjectNode entry = broken.addObject()
                        .put("rule", b.rule().name())
                        .put("at_us", b.at())
                        .put("subject", b.subject())
                        .put("what", b.description());
                b.events().forEach(entry.putArray("chain")::add);
            }
        }
        ArrayNode verdicts = root.putArray("expectations");
        for (Expectation.Verdict v : r.verdicts()) {
            verdicts.addObject()
                    .put("expectation", v.expectation().text())
                    .put("holds", v.holds())
                    .put("found", v.found());
        }
        return root;
    }

    private static void series(ObjectNode node, Score.Series series) {
        ArrayNode priorityWeight = node.putArray("worth");
        DoubleStream.of(series.priorityWeight())
                .forEach(share -> priorityWeight.add(Math.round(share * THOUSAND) / THOUSAND));
        LongStream.of(series.arrivals()).forEach(node.putArray("arrivals")::add);
        LongStream.of(series.attempts()).forEach(node.putArray("attempts")::add);
        LongStream.of(series.refusals()).forEach(node.putArray("refusals")::add);
        ArrayNode held = node.putArray("held");
        for (int[] upstreams : series.held()) {
            held.add(IntStream.of(upstreams).filter(requests -> requests > 0).sum());
        }
    }

    private static ObjectNode interval(ObjectNode node, Interval i) {
        node.put("mean", i.mean());
        if (!Double.isNaN(i.halfWidth())) {
            node.put("half_width", i.halfWidth());
        }
        return node;
    }
}
