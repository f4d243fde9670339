package loadbalancer.simulator.cli;

import java.io.File;
import java.io.IOException;
import java.util.concurrent.Callable;
import loadbalancer.simulator.experiment.Experiment;
import loadbalancer.simulator.experiment.ExperimentReader;
import loadbalancer.simulator.experiment.Results;
import loadbalancer.simulator.experiment.Runner;
import loadbalancer.simulator.report.HtmlReport;
import loadbalancer.simulator.report.JsonReport;
import loadbalancer.simulator.report.Table;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code simulator run}: plays an experiment and says whether what it expects holds. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Plays an experiment: prints the table, writes the page, says whether its expectations hold.",
        footer = {
            "",
            "Examples:",
            "  bin/simulator run experiments/booking-day.toml",
            "  bin/simulator run experiments/taken-out.toml --seeds 20 --json out.json --html out.html"
        })
final class RunCommand implements Callable<Integer> {
    /** What all commands that play experiments take. */
    static final class Playing {
        @Option(names = "--seed", description = "First seed, in place of the experiment's.")
        private Long seed;

        @Option(names = "--seeds", description = "How many seeds, in place of the experiment's.")
        private Integer seeds;

        @Option(names = "--threads", description = "Days played at once; as many as there are processors.")
        private Integer threads;

        Experiment applied(Experiment experiment) {
            return experiment.on(
                    seed == null ? experiment.firstSeed() : seed,
                    seeds == null ? experiment.seeds() : Math.max(1, seeds));
        }

        int threads() {
            return threads == null ? Runtime.getRuntime().availableProcessors() : Math.max(1, threads);
        }

        Results play(Experiment experiment) {
            ProgressBar bar = new ProgressBar();
            Results results = Runner.run(experiment, threads(), bar);
            bar.end();
            return results;
        }
    }

    @Parameters(paramLabel = "FILE", description = "The experiment, a TOML file.")
    private File file;

    @Mixin
    private Playing playing;

    @Option(names = "--json", paramLabel = "FILE", description = "Writes all figures there.")
    private File json;

    @Option(
            names = "--html",
            paramLabel = "FILE",
            description = "Writes the page there; simulator/target/reports/NAME.html unless given.")
    private File html;

    @Override
    public Integer call() throws IOException {
        Experiment experiment = playing.applied(ExperimentReader.read(file.toPath()));
        Results results = playing.play(experiment);
        System.out.print(Table.of(results));
        if (json != null) {
            JsonReport.write(results, json);
        }
        File page = html == null ? new File("simulator/target/reports", experiment.name() + ".html") : html;
        if (page.getAbsoluteFile().getParentFile().mkdirs()) {
            SimulatorLog.of(RunCommand.class).debug("made the folder of {}", page);
        }
        HtmlReport.write(results, page);
        SimulatorLog.of(RunCommand.class).info("page written to {}", page);
        return results.verdicts().stream().allMatch(v -> v.holds()) ? 0 : 1;
    }
}
