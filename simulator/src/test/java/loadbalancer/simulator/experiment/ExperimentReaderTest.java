package loadbalancer.simulator.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import loadbalancer.toml.ConfigException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExperimentReaderTest {
    private static final String SOUND =
            """
        [experiment]
        seeds = 2
        expect = ["G > 0"]
        [world]
        length = "5s"
        balancers = 1
        upstreams = 2
        [load]
        level = 0.5
        [network]
        same = "100us"
        [[kind]]
        name = "box"
        cores = 2
        [[class]]
        name = "read"
        work = "10ms"
        aim = "100ms"
        deadline = "500ms"
        [[trouble]]
        kind = "slow"
        at = "1s"
        part = 0.5
        size = 3
        """;

    @TempDir
    private Path folder;

    private Path file(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    @Test
    void aSoundOneIsReadWithItsUnits() throws IOException {
        Experiment experiment = ExperimentReader.read(file("sound.toml", SOUND));
        assertEquals(5_000_000, experiment.plan().length());
        assertEquals(100, experiment.plan().network().sameZone().from());
        assertEquals("sound", experiment.name());
        assertEquals(2, experiment.variants().size());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "length = \"5s\" | length = 5 | bad.toml:5: 'length' is 5: expected a time with its unit,"
                        + " such as \"200ms\"",
                "length = \"5s\" | lenght = \"5s\" | bad.toml:4: 'length' is missing in [world]: expected a time"
                        + " with its unit",
                "balancers = 1 | balancers = 0 | bad.toml:6: 'balancers' is 0: expected a whole number of 1 or more",
                "balancers = 1 | balancers = [1, 2, 3] | bad.toml:6: 'balancers' has 3 values: expected one,"
                        + " or two for a range",
                "level = 0.5 | levle = 0.5 | bad.toml:9: unknown key 'levle' in [load]; did you mean 'level'?",
                "part = 0.5 | part = 1.5 | bad.toml:23: 'part' is 1.5: expected a share from 0 to 1",
                "kind = \"slow\" | kind = \"slw\" | did you mean 'slow'?",
                "deadline = \"500ms\" | deadline = \"50ms\" | bad.toml:19: 'deadline' is before the aim",
                "expect = [\"G > 0\"] | expect = [\"H > 0\"] | bad.toml:3: expectation \"H > 0\": no figure 'H'",
                "expect = [\"G > 0\"] | expect = [\"diff(G, balanse, random) > 0\"] | did you mean 'balance'?",
                "expect = [\"G > 0\"] | expect = [\"G is good\"] | expectation \"G is good\" can't be read",
                "seeds = 2 | seeds = = | bad.toml:2: ",
                "seeds = 2 | seeds = 2.5 | bad.toml:2: 'seeds' is 2.5: expected a whole number of 1 or more",
            })
    void eachFaultIsNamedWithItsFileAndLine(String was, String is, String complaint) throws IOException {
        Path bad = file("bad.toml", SOUND.replace(was, is));
        String said = assertThrows(ConfigException.class, () -> ExperimentReader.read(bad))
                .getMessage();
        assertTrue(said.contains(complaint), said);
    }

    @Test
    void allFaultsAreNamedAtOnceInTheOrderOfTheirLines() throws IOException {
        Path bad = file("bad.toml", SOUND.replace("level = 0.5", "level = -1").replace("size = 3", "sise = 3"));
        assertEquals(
                2,
                assertThrows(ConfigException.class, () -> ExperimentReader.read(bad))
                        .lines()
                        .size());
    }

    @Test
    void anIncludeIsLaidUnderTheFileAndFaultsInItNameIt() throws IOException {
        file("base.toml", SOUND.replace("level = 0.5", "level = 0.25"));
        Path over = file("over.toml", "include = \"base.toml\"\n[world]\nlength = \"9s\"\n");
        Experiment experiment = ExperimentReader.read(over);
        assertEquals(9_000_000, experiment.plan().length());
        assertEquals(0.25, experiment.plan().load().level().from());
        file("base.toml", SOUND.replace("level = 0.5", "level = true"));
        String said = assertThrows(ConfigException.class, () -> ExperimentReader.read(over))
                .getMessage();
        assertTrue(said.startsWith("base.toml:9: 'level' is true"), said);
    }

    @Test
    void anIncludeThatLoopsIsCaught() throws IOException {
        file("a.toml", "include = \"b.toml\"\n");
        Path file = file("b.toml", "include = \"a.toml\"\n");
        String said = assertThrows(ConfigException.class, () -> ExperimentReader.read(file))
                .getMessage();
        assertTrue(said.contains("forms a cycle"), said);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "limit = \"fixed\" | limit = \"fixd\" | expected one of fixed, aimd, vegas, gradient;"
                        + " did you mean 'fixed'?",
                "to = [\"site\"] | to = [\"sight\"] | no pool 'sight'",
                "to = [\"site\"] | to = [] | route 'all' leads to no pool",
                "name = \"site\" | name = \"cite\" | no [[kind]] is of pool 'cite'; did you mean 'site'?",
                "[\"limits\"] | [\"limit\"] | there are limits, quotas, retries, spill, steps; did you mean 'limits'?",
                "spill_most = 0.5 | spill_most = 5 | 'spill_most' is 5: expected a share from 0 to 1",
            })
    void faultsOfAFrontAreNamed(String from, String to, String fault) throws IOException {
        String sound = SOUND
                + """

            [front]
            [[front.pool]]
            name = "site"
            limit = "fixed"
            [[front.route]]
            name = "all"
            to = ["site"]
            spill_most = 0.5
            [[variant]]
            name = "fronted"
            policy = "balance"
            front = true
            without = ["limits"]
            """;
        Path file = Files.writeString(folder.resolve("e.toml"), sound);
        assertEquals("fronted", ExperimentReader.read(file).variants().get(0).name());
        Files.writeString(file, sound.replace(from, to));
        ConfigException faults = assertThrows(ConfigException.class, () -> ExperimentReader.read(file));
        assertTrue(
                faults.lines().stream().anyMatch(l -> l.endsWith(fault)),
                faults.lines().toString());
    }
}
