package loadbalancer.simulator.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.util.Iterator;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.StreamSupport;
import loadbalancer.simulator.stats.Interval;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code simulator compare}: two results of {@code run --json}, before and after a change, paired by seed. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Compares two results of 'run --json' on the same seeds: where the second is better, by how much"
                + " and how sure.",
        footer = {"", "Example:", "  bin/simulator compare before.json after.json --figure G --figure refused"})
final class CompareCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "A", description = "JSON of the first run.")
    private File first;

    @Parameters(index = "1", paramLabel = "B", description = "JSON of the second run.")
    private File second;

    @Option(names = "--variant", defaultValue = "balance", description = "Which variant of both; balance.")
    private String variant;

    @Option(names = "--figure", description = "Only that figure; may be given again.")
    private java.util.List<String> only;

    @Override
    public Integer call() throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        JsonNode node = figures(mapper, first);
        JsonNode b = figures(mapper, second);
        System.out.printf("%-22s%12s%12s%24s%n", variant, "A", "B", "B - A, paired");
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (only != null && !only.contains(name) || !b.has(name)) {
                continue;
            }
            double[] before = values(node.get(name));
            double[] after = values(b.get(name));
            if (before.length != after.length) {
                throw new IllegalArgumentException("the two have " + before.length + " and " + after.length
                        + " seeds: only runs on the same seeds can be paired");
            }
            Interval interval = Interval.ofDifferences(after, before);
            boolean sure = !Double.isNaN(interval.halfWidth()) && !interval.holds(0);
            System.out.printf(
                    Locale.ROOT,
                    "%-22s%12.4f%12.4f%12.4f +- %.4f%s%n",
                    name,
                    Interval.of(before).mean(),
                    Interval.of(after).mean(),
                    interval.mean(),
                    interval.halfWidth(),
                    sure ? "  *" : "");
        }
        System.out.println("* the 95% interval of the difference leaves out 0");
        return 0;
    }

    private JsonNode figures(ObjectMapper mapper, File file) throws IOException {
        if (!file.canRead()) {
            throw new IllegalArgumentException(file + ": no such file can be read");
        }
        JsonNode node = mapper.readTree(file).path("variants").path(variant).path("figures");
        if (node.isMissingNode()) {
            throw new IllegalArgumentException(file + ": no variant '" + variant + "' in it");
        }
        return node;
    }

    private static double[] values(JsonNode figure) {
        return StreamSupport.stream(figure.path("values").spliterator(), false)
                .mapToDouble(JsonNode::asDouble)
                .toArray();
    }
}
