package loadbalancer.simulator.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FleetCommandTest {
    @TempDir
    private Path folder;

    private int run(String file, Path json) throws IOException {
        Path at = Files.writeString(folder.resolve("f.toml"), file);
        return SimulatorCommand.run(
                "fleet",
                at.toString(),
                "--json",
                json.toString(),
                "--html",
                folder.resolve("f.html").toString(),
                "--commit",
                "0123abc");
    }

    @Test
    void unusableFilesEndWithTwo() throws IOException {
        Path json = folder.resolve("f.json");
        assertEquals(2, run("[[axis]]\nname = \"balancers\"\nsizes = [0]\n", json));
        assertEquals(
                2, SimulatorCommand.run("fleet", folder.resolve("none.toml").toString()));
        assertEquals(2, SimulatorCommand.run("fleet"));
        assertEquals(0, SimulatorCommand.run("fleet", "--help"));
        assertTrue(Files.notExists(json));
    }

    @Test
    void whatTheMachineCantBearIsRefusedBeforeItStartsAndTheRestRuns() throws IOException {
        Path json = folder.resolve("f.json");
        assertEquals(
                1,
                run(
                        "[fleet]\nupstreams = 20\nidle = \"100ms\"\nlength = \"500ms\"\n"
                                + "[[axis]]\nname = \"balancers\"\nsizes = [2, 9000000]\n",
                        json));
        JsonNode node = new ObjectMapper().readTree(json.toFile());
        assertEquals(1, node.get("axes").get("balancers").get("points").size());
        assertEquals("0123abc", node.get("commit").asText());
        String refused = node.get("refused").get(0).asText();
        assertTrue(refused.startsWith("balancers 9000000: needs "), refused);
        assertTrue(refused.contains("MB of memory") && refused.contains("descriptors"), refused);
        assertTrue(Files.readString(folder.resolve("f.html")).contains(refused));
    }
}
