package loadbalancer.simulator.cli;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import loadbalancer.simulator.experiment.Experiment;
import loadbalancer.simulator.experiment.ExperimentReader;
import loadbalancer.simulator.experiment.Results;
import loadbalancer.simulator.report.HtmlReport;
import loadbalancer.simulator.report.IndexPage;
import loadbalancer.simulator.report.JsonReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code simulator report}: all experiments of a folder, with a page for each and one that leads to them. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Plays all experiments of a folder; writes a page and a JSON for each, and an index. Exit code 1"
                + " where an expectation doesn't hold.",
        footer = {"", "Example:", "  bin/simulator report --seeds 20 --out before"})
final class ReportCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FOLDER", defaultValue = "experiments", description = "Where experiments are.")
    private Path folder;

    @Mixin
    private RunCommand.Playing playing;

    @Option(
            names = "--out",
            defaultValue = "simulator/target/reports",
            description = "Folder for pages; simulator/target/reports.")
    private Path out;

    @Override
    public Integer call() throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IllegalArgumentException(folder + ": no such folder");
        }
        List<Experiment> experiments = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file :
                    files.filter(p -> p.toString().endsWith(".toml")).sorted().toList()) {
                experiments.add(playing.applied(ExperimentReader.read(file))); // all are sound before any is played
            }
        }
        Files.createDirectories(out);
        List<Results> all = new ArrayList<>();
        for (Experiment experiment : experiments) {
            Results results = playing.play(experiment);
            all.add(results);
            HtmlReport.write(results, out.resolve(experiment.name() + ".html").toFile());
            JsonReport.write(results, out.resolve(experiment.name() + ".json").toFile());
            System.out.println(IndexPage.line(results));
        }
        File index = out.resolve("index.html").toFile();
        IndexPage.write(all, index);
        SimulatorLog.of(ReportCommand.class).info("index written to {}", index);
        return all.stream().flatMap(r -> r.verdicts().stream()).allMatch(v -> v.holds()) ? 0 : 1;
    }
}
