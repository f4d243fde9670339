package loadbalancer.simulator.cli;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.Locale;
import java.util.concurrent.Callable;
import loadbalancer.simulator.experiment.Experiment;
import loadbalancer.simulator.experiment.ExperimentReader;
import loadbalancer.simulator.search.ExperimentWriter;
import loadbalancer.simulator.search.RandomSearch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code simulator hunt}: looks for worlds in which a rule breaks, or a collapse outlives its cause. */
@Command(
        name = "hunt",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Draws random worlds within an experiment's ranges, with random troubles, and looks for a broken"
                + " rule or a collapse that does not end when its cause does. What it finds is shrunk and written as an"
                + " experiment. Exit code 1 where something was found.",
        footer = {"", "Example:", "  bin/simulator hunt --seed 7 --worlds 200 experiments/booking-day.toml"})
final class RandomSearchCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "FILE",
            defaultValue = "experiments/booking-day.toml",
            description = "The experiment whose ranges are used; its first variant is hunted.")
    private File file;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the hunt; 1.")
    private long seed;

    @Option(names = "--worlds", defaultValue = "50", description = "Worlds to draw; 50.")
    private int worlds;

    @Option(names = "--threads", description = "Worlds played at once.")
    private Integer threads;

    @Option(names = "--out", defaultValue = "found", description = "Folder for what is found; found.")
    private File out;

    @Override
    public Integer call() throws IOException {
        Experiment experiment = ExperimentReader.read(file.toPath());
        int many = threads == null ? Runtime.getRuntime().availableProcessors() : threads;
        ProgressBar bar = new ProgressBar();
        RandomSearch hunt = new RandomSearch(experiment, seed, many);
        var finds = hunt.search(worlds, bar);
        bar.end();
        System.out.printf(Locale.ROOT, "%d worlds, %d finds%n", worlds, finds.size());
        for (RandomSearch.Find find : finds) {
            RandomSearch.Find small = hunt.shrink(find);
            Files.createDirectories(out.toPath());
            File written = new File(out, "hunt-" + seed + "-" + find.seed() + ".toml");
            Files.writeString(written.toPath(), ExperimentWriter.write(small));
            System.out.printf(
                    Locale.ROOT,
                    "world %d: %s; shrunk from %d troubles to %d in %d runs: %s%n",
                    find.seed(),
                    small.what(),
                    find.plan().faults().size(),
                    small.plan().faults().size(),
                    small.runs(),
                    written);
        }
        return finds.isEmpty() ? 0 : 1;
    }
}
