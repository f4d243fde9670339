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

    static ObjectNode of(Results results) {
        ObjectNode root = MAPPER.createObjectNode()
                .put("experiment", results.experiment().name())
                .put("question", results.experiment().question())
                .put("first_seed", results.experiment().firstSeed())
                .put("seeds", results.experiment().seeds());
        List<String> variants = List.copyOf(results.days().keySet());
        ObjectNode all = root.putObject("variants");
        for (String v : variants) {
            ObjectNode node = all.putObject(v);
            ObjectNode figures = node.putObject("figures");
            for (String f : results.figures()) {
                ObjectNode figure = interval(figures.putObject(f), results.mean(v, f));
                ArrayNode values = figure.putArray("values");
                for (double value : results.values(v, f)) {
                    values.add(value);
                }
                if (!v.equals(variants.get(0))) {
                    interval(figure.putObject("more_than_first"), results.difference(f, v, variants.get(0)));
                }
            }
            ArrayNode days = node.putArray("days");
            for (Day day : results.days().get(v)) {
                series(days.addObject(), day.series());
            }
            ArrayNode broken = node.putArray("broken");
            for (RuleViolation violation : results.violations(v)) {
                ObjectNode entry = broken.addObject()
                        .put("rule", violation.rule().name())
                        .put("at_us", violation.at())
                        .put("subject", violation.subject())
                        .put("what", violation.description());
                violation.events().forEach(entry.putArray("chain")::add);
            }
        }
        ArrayNode verdicts = root.putArray("expectations");
        for (Expectation.Verdict verdict : results.verdicts()) {
            verdicts.addObject()
                    .put("expectation", verdict.expectation().text())
                    .put("holds", verdict.holds())
                    .put("found", verdict.found());
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

    private static ObjectNode interval(ObjectNode node, Interval interval) {
        node.put("mean", interval.mean());
        if (!Double.isNaN(interval.halfWidth())) {
            node.put("half_width", interval.halfWidth());
        }
        return node;
    }
}
