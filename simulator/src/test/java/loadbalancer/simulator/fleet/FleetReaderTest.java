package loadbalancer.simulator.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import loadbalancer.toml.ConfigException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetReaderTest {
    @TempDir
    private Path folder;

    private Path file(String... lines) throws IOException {
        return Files.writeString(folder.resolve("bad.toml"), String.join("\n", lines) + "\n");
    }

    private List<String> faults(String... lines) throws IOException {
        Path file = file(lines);
        return assertThrows(ConfigException.class, () -> FleetReader.read(file)).lines();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "[0, 10]; 'sizes' holds 0: whole numbers from 1 to 10000000 are wanted",
                "[-5]; 'sizes' holds -5: whole numbers from 1 to 10000000 are wanted",
                "[10, 20.5]; 'sizes' holds 20.5: whole numbers from 1 to 10000000 are wanted",
                "[10, \"many\"]; 'sizes' holds many: whole numbers from 1 to 10000000 are wanted",
                "[99999999]; 'sizes' holds 99999999: whole numbers from 1 to 10000000 are wanted",
                "[100, 10]; 'sizes' holds 10 behind 100: each must be larger than the one before",
                "[100, 100]; 'sizes' holds 100 behind 100: each must be larger than the one before",
                "[]; 'sizes' is missing or empty: whole numbers from 1 to 10000000 are wanted"
            })
    void unusableSizesAreNamed(String sizes, String message) throws IOException {
        assertEquals(List.of("bad.toml:3: " + message), faults("[[axis]]", "name = \"balancers\"", "sizes = " + sizes));
    }

    @Test
    void sizesThatAreNoListOrMissingAreNamed() throws IOException {
        assertEquals(
                "bad.toml:3: 'sizes' is 10: expected a list of strings",
                faults("[[axis]]", "name = \"balancers\"", "sizes = 10").get(0));
        assertEquals(
                List.of("bad.toml:1: 'sizes' is missing or empty: whole numbers from 1 to 10000000 are wanted"),
                faults("[[axis]]", "name = \"balancers\""));
    }

    @Test
    void axesThatThereAreNotOrTwiceAreNamed() throws IOException {
        String there = String.join(", ", Axes.names());
        assertEquals(
                List.of("bad.toml:2: no axis 'balancer'; there are " + there + "; did you mean 'balancers'?"),
                faults("[[axis]]", "name = \"balancer\"", "sizes = [1]"));
        assertEquals(
                List.of("bad.toml:5: the axis 'upstreams' is there already"),
                faults(
                        "[[axis]]",
                        "name = \"upstreams\"",
                        "sizes = [1]",
                        "[[axis]]",
                        "name = \"upstreams\"",
                        "sizes = [2]"));
        assertEquals(
                List.of("bad.toml:1: no [[axis]]: one at least is wanted, with its name and sizes"),
                faults("[fleet]", "upstreams = 5"));
    }

    @Test
    void allElseThatIsWrongIsNamedAtOnce() throws IOException {
        assertEquals(
                List.of(
                        "bad.toml:2: 'mode' is \"pull\"; there are ask, push",
                        "bad.toml:3: 'balancers' is 0: expected a whole number of 1 or more",
                        "bad.toml:4: 'real' is 1.5: a whole number is wanted",
                        "bad.toml:5: 'zones' is empty: one at least is wanted",
                        "bad.toml:6: unknown key 'balancer' in [fleet]; did you mean 'balancers'?",
                        "bad.toml:8: 'kind' is \"gone\": expected one of down, cut_off, slow",
                        "bad.toml:9: 'length' is 5: expected a time with its unit, such as \"200ms\""),
                faults(
                        "[fleet]",
                        "mode = \"pull\"",
                        "balancers = 0",
                        "real = 1.5",
                        "zones = []",
                        "balancer = 3",
                        "[outage]",
                        "kind = \"gone\"",
                        "length = 5",
                        "[[axis]]",
                        "name = \"balancers\"",
                        "sizes = [1]"));
    }

    @Test
    void whatIsNotSaidIsAsThePageSays() throws IOException {
        FleetPlan plan = FleetReader.read(file("[[axis]]", "name = \"upstreams\"", "sizes = [10, 20]"));
        assertEquals(List.of(new FleetPlan.Sweep("upstreams", List.of(10L, 20L))), plan.sweeps());
        assertEquals(10, plan.fleet().balancers());
        assertTrue(plan.fleet().ask());
        assertEquals(null, plan.restart());
        assertEquals(null, plan.outage());
        assertNotNull(FleetReader.read(file("[restart]", "[[axis]]", "name = \"upstreams\"", "sizes = [10]"))
                .restart());
    }

    @Test
    void theRunsOfTheRepositoryAreSound() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("../experiments/fleet"))) {
            for (Path file : files.filter(p -> p.toString().endsWith(".toml")).toList()) {
                assertTrue(!FleetReader.read(file).question().isEmpty(), file + " asks something");
            }
        }
    }
}
