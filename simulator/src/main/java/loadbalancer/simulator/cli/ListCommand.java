package loadbalancer.simulator.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import loadbalancer.simulator.experiment.Experiment;
import loadbalancer.simulator.experiment.ExperimentReader;
import loadbalancer.simulator.rules.Score;
import loadbalancer.simulator.variants.Variants;
import loadbalancer.simulator.world.FaultKinds;
import loadbalancer.toml.ConfigException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code simulator list}: experiments, policies, faults and figures that there are; checks the experiments too. */
@Command(
        name = "list",
        mixinStandardHelpOptions = true,
        description = "Lists experiments (and checks them), policies, troubles and figures.")
final class ListCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FOLDER", defaultValue = "experiments", description = "Where experiments are.")
    private Path folder;

    @Override
    public Integer call() throws IOException {
        boolean sound = true;
        List<String> figures = List.of();
        if (!Files.isDirectory(folder)) {
            throw new IllegalArgumentException(folder + ": no such folder");
        }
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file :
                    files.filter(p -> p.toString().endsWith(".toml")).sorted().toList()) {
                try {
                    Experiment experiment = ExperimentReader.read(file);
                    figures = Score.names(experiment.plan());
                    System.out.printf("%-40s %s%n", file, experiment.question());
                } catch (ConfigException faults) {
                    sound = false;
                    System.out.println(faults.getMessage());
                }
            }
        }
        System.out.println("\npolicies: " + String.join(", ", Variants.names()));
        System.out.println("\ntroubles:");
        FaultKinds.DESCRIPTIONS.entrySet().stream()
                .sorted(java.util.Map.Entry.comparingByKey())
                .forEach(e -> System.out.printf("  %-20s %s%n", e.getKey(), e.getValue()));
        System.out.println("\nfigures: " + String.join(", ", figures));
        return sound ? 0 : 2;
    }
}
