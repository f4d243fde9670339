package loadbalancer.simulator.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import loadbalancer.simulator.experiment.Experiment;
import loadbalancer.simulator.experiment.ExperimentReader;
import loadbalancer.simulator.experiment.Runner;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SimulatorCommandTest {
    private static final Path EXPERIMENTS = Path.of("../experiments");

    @TempDir
    private Path folder;

    private String experiment(String expect) throws IOException {
        return Files.writeString(
                        folder.resolve("e.toml"),
                        "include = \""
                                + EXPERIMENTS
                                        .resolve("booking-day.toml")
                                        .toAbsolutePath()
                                        .normalize() + "\"\n"
                                + "[experiment]\nseeds = 2\nexpect = [\"" + expect + "\"]\n[world]\nlength = \"8s\"\n")
                .toString();
    }

    @Test
    void exitCodesTellWhatHoldsFailsOrCantBeUsed() throws IOException {
        String page = folder.resolve("p.html").toString();
        assertEquals(0, SimulatorCommand.run("run", experiment("rules.broken == 0"), "--html", page));
        assertEquals(1, SimulatorCommand.run("run", experiment("G > 2"), "--html", page));
        assertEquals(2, SimulatorCommand.run("run", folder.resolve("none.toml").toString()));
        assertEquals(2, SimulatorCommand.run("run"));
        assertEquals(2, SimulatorCommand.run("queue", "--policy", "best", "--servers", "3", "--lambda", "0.5"));
        assertTrue(Files.readString(Path.of(page)).contains("<svg"));
    }

    @Test
    void resultsAreTheSameToTheByteOnOneThreadAndOnMany() throws IOException {
        String file = experiment("rules.broken == 0");
        String page = folder.resolve("p.html").toString();
        Path one = folder.resolve("one.json");
        Path many = folder.resolve("many.json");
        assertEquals(0, SimulatorCommand.run("run", file, "--threads", "1", "--json", one.toString(), "--html", page));
        assertEquals(0, SimulatorCommand.run("run", file, "--threads", "7", "--json", many.toString(), "--html", page));
        assertEquals(Files.readString(one), Files.readString(many));
        assertEquals(0, SimulatorCommand.run("compare", one.toString(), many.toString()));
    }

    @Test
    void theQueueCommandWritesTheFiguresThatChecksNeed() throws IOException {
        Path json = folder.resolve("q.json");
        assertEquals(
                0,
                SimulatorCommand.run(
                        "queue",
                        "--policy",
                        "jsq-das",
                        "--servers",
                        "100",
                        "--lambda",
                        "0.8",
                        "--fast-share",
                        "0.3",
                        "--fast-rate",
                        "1.95",
                        "--slow-rate",
                        "0.6",
                        "-d",
                        "4",
                        "-a",
                        "2",
                        "--jobs",
                        "100000",
                        "--seed",
                        "3",
                        "--json",
                        json.toString()));
        JsonNode node = new ObjectMapper().readTree(json.toFile());
        for (String name : List.of("mean_response", "ci95", "fast_identified", "warm_up_jobs")) {
            assertTrue(node.get(name).isNumber(), name);
        }
    }

    @Test
    void allExperimentsOfTheRepositoryAreSound() throws IOException {
        try (Stream<Path> files = Files.list(EXPERIMENTS)) {
            for (Path file : files.filter(p -> p.toString().endsWith(".toml")).toList()) {
                Experiment experiment = ExperimentReader.read(file);
                assertTrue(!experiment.question().isEmpty(), file + " asks something");
            }
        }
    }

    /** A fixed sample of what the README's command plays: the module keeps the rules on a rough day. */
    @Test
    void theBookingDayKeepsItsPromises() throws IOException {
        Experiment experiment = ExperimentReader.read(EXPERIMENTS.resolve("booking-day.toml"));
        var results = Runner.run(experiment, 4, (done, all) -> {});
        results.verdicts().forEach(v -> assertTrue(v.holds(), v.toString()));
    }
}
