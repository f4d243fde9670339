package loadbalancer.simulator.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FleetResultsTest {
    @TempDir
    private Path folder;

    private FleetResults results(int sizes) throws IOException {
        FleetPlan plan = FleetReader.read(Files.writeString(
                folder.resolve("r.toml"),
                "[experiment]\nquestion = \"a < b?\"\n[[axis]]\nname = \"balancers\"\nsizes = [1]\n"));
        List<ScalePoint> points = new ArrayList<>();
        for (int i = 1; i <= sizes; i++) {
            points.add(new ScalePoint(
                    "balancers",
                    i * 10,
                    Map.of("x_bytes", 5.0 + 20 * i, "none_count", 0.0),
                    i == 2 ? List.of("it was late") : List.of()));
        }
        return new FleetResults(plan, Host.here(), "abc", points, List.of("balancers 9: needs 1 MB"));
    }

    @Test
    void aLineIsFittedFromFourSizesOn() throws IOException {
        JsonNode four = results(4).json().get("axes").get("balancers");
        assertEquals(2, four.get("fits").get("x_bytes").get("slope").asDouble(), 1e-9);
        assertEquals(400, four.get("fits").get("x_bytes").get("not_beyond").asDouble());
        assertNull(four.get("fits").get("none_count"));
        assertEquals(85, four.get("points").get(3).get("figures").get("x_bytes").asDouble());
        assertTrue(results(3).json().get("axes").get("balancers").get("fits").isEmpty());
    }

    @Test
    void tableAndPageSayWhatWasNotReachedAndWhatWasRefused() throws IOException {
        String table = results(4).table();
        assertTrue(table.contains("not reached, balancers 20: it was late"), table);
        assertTrue(table.contains("refused, balancers 9: needs 1 MB"), table);
        String page = results(4).html();
        assertTrue(page.contains("a &lt; b?") && page.contains("it was late") && page.contains("needs 1 MB"), page);
        assertFalse(page.contains("NaN"), page);
    }
}
