package loadbalancer.simulator.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.Callable;
import loadbalancer.simulator.queue.QueueModel;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code simulator queue}: the bare model, for checks against theory. */
@Command(
        name = "queue",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Plays the paper's bare model: Poisson arrivals, exponential service, first come first served.",
        footer = {
            "",
            "Example, the paper's setting:",
            "  bin/simulator queue --policy jsq-das --servers 1000 --lambda 0.9 --fast-share 0.3 --fast-rate 1.95"
                    + " --slow-rate 0.6 -d 4 -a 2 --jobs 3000000 --seed 1 --json out.json"
        })
final class QueueCommand implements Callable<Integer> {
    @Option(
            names = "--policy",
            required = true,
            description = "random, round-robin, jsq, jsq-d, sed-d, sed, jsq-dfds, jsq-das or balance")
    private String policy;

    @Option(names = "--servers", required = true, description = "Number of servers.")
    private int servers;

    @Option(names = "--cores", defaultValue = "1", description = "Jobs a server works on at once; 1.")
    private int cores;

    @Option(names = "--lambda", required = true, description = "Arrivals per server and unit of time.")
    private double lambda;

    @Option(names = "--fast-share", defaultValue = "1", description = "Share of fast servers; 1.")
    private double fastShare;

    @Option(names = "--fast-rate", defaultValue = "1", description = "Services per unit of time; 1.")
    private double fastRate;

    @Option(names = "--slow-rate", defaultValue = "1", description = "The same of the others; 1.")
    private double slowRate;

    @Option(names = "-d", defaultValue = "2", description = "Servers sampled (jsq-dfds: dF + dS); 2.")
    private int sampled;

    @Option(names = "-a", defaultValue = "1", description = "Of these from the accomplished (or dF); 1.")
    private int fromAccomplished;

    @Option(names = "--jobs", defaultValue = "1000000", description = "Jobs in all; 1,000,000.")
    private long jobs;

    @Option(names = "--seed", defaultValue = "1", description = "Seed; 1.")
    private long seed;

    @Option(names = "--json", description = "Writes the figures there.")
    private File json;

    @Override
    public Integer call() throws IOException {
        QueueModel.Result result = QueueModel.run(new QueueModel.Setting(
                policy, servers, cores, lambda, fastShare, fastRate, slowRate, sampled, fromAccomplished, jobs, seed));
        System.out.printf(
                Locale.ROOT,
                "%s  servers %d  lambda %.3f  mean response %.4f +- %.4f  fast found %s%n",
                policy,
                servers,
                lambda,
                result.meanResponse(),
                result.ci95(),
                Double.isNaN(result.fastIdentified())
                        ? "-"
                        : String.format(Locale.ROOT, "%.4f", result.fastIdentified()));
        System.out.printf(
                Locale.ROOT,
                "%d jobs left out as warm-up, %d refused, %.1f s, %.2f million events/s%n",
                result.warmUp(),
                result.refused(),
                result.seconds(),
                result.events() / result.seconds() / 1e6);
        if (json != null) {
            ObjectMapper mapper = new ObjectMapper();
            ObjectNode node = mapper.createObjectNode()
                    .put("policy", policy)
                    .put("servers", servers)
                    .put("cores", cores)
                    .put("lambda", lambda)
                    .put("fast_share", fastShare)
                    .put("fast_rate", fastRate)
                    .put("slow_rate", slowRate)
                    .put("d", sampled)
                    .put("a", fromAccomplished)
                    .put("jobs", jobs)
                    .put("seed", seed)
                    .put("mean_response", result.meanResponse())
                    .put("ci95", result.ci95())
                    .put("warm_up_jobs", result.warmUp())
                    .put("refused", result.refused())
                    .put("events", result.events())
                    .put("seconds", result.seconds());
            if (Double.isNaN(result.fastIdentified())) {
                node.putNull("fast_identified");
            } else {
                node.put("fast_identified", result.fastIdentified());
            }
            mapper.writerWithDefaultPrettyPrinter().writeValue(json, node);
        }
        return 0;
    }
}
