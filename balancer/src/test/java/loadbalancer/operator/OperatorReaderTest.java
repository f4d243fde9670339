package loadbalancer.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.toml.ConfigException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Valid operator files, the faults of invalid ones, and the description of changes. */
class OperatorReaderTest {
    static final SiteConfig SITE =
            new SiteConfig(List.of("read", "book"), List.of("shyamal-travels", "teesta-line"), 3, 1_500_000);

    static final String VALID =
            """
        [front]
        unmatched = "refuse"
        reserve = 0.1

        [[pool]]
        name = "agents"
        upstreams = ["127.0.0.1:9001", "127.0.0.1:9002"]
        connections = 40
        memory = "512KiB"
        limit = { kind = "gradient", start = 16, least = 4, most = 200 }
        settings = { max_attempts = 2, connect_timeout = "80ms", idle_close = "20s", probes = false }

        [[pool]]
        name = "new"
        discovery = "127.0.0.1:7001"
        full_strength = 8

        [[route]]
        name = "bookings"
        path = "/api/{seat}"
        methods = ["POST"]
        headers = { X-Channel = "counter" }
        classes = ["book"]
        to = [{ pool = "agents", weight = 90 }, { pool = "new", weight = 10 }]
        spill = [{ pool = "site", most = 0.5 }]
        retries = { share = 0.1, least = "2/s", window = "5s", count_clients = true }
        rate = { rate = "200/s", burst = 50, ceiling = "300/s" }
        deadline = "800ms"

        [[route]]
        name = "rest"
        path = "/**"
        to = "site"

        [quota]
        rate = "900/s"
        [quota.others]
        rate = "60/min"
        [quota.tenant.teesta-line]
        rate = "100/s"
        [quota.tenant.teesta-line.route.bookings]
        rate = "20/s"

        [log]
        format = "json"
        """;

    @TempDir
    private Path folder;

    private List<String> faults(String text) throws IOException {
        Path file = Files.writeString(folder.resolve("operator.toml"), text);
        try {
            OperatorReader.read(file, SITE);
            return List.of();
        } catch (ConfigException e) {
            return e.lines().stream()
                    .map(line -> line.replace(folder.toString() + "/", ""))
                    .toList();
        }
    }

    /** In broken.txt, {@code ===} precedes the name of an invalid file, and {@code ---} its expected faults. */
    @Test
    void everyInvalidFileIsReportedWithItsFaults() throws IOException {
        String all;
        try (var in = getClass().getResourceAsStream("/operator/broken.txt")) {
            all = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        int fileCount = 0;
        StringBuilder mismatches = new StringBuilder();
        for (String part : all.split("(?m)^=== ")) {
            if (part.isBlank()) {
                continue;
            }
            fileCount++;
            int endOfName = part.indexOf('\n');
            String[] textAndFaults = part.substring(endOfName + 1).split("(?m)^---\\R", 2);
            List<String> expected = textAndFaults.length < 2
                    ? List.of()
                    : textAndFaults[1].lines().filter(line -> !line.isBlank()).toList();
            List<String> actual = faults(textAndFaults[0]);
            if (!actual.equals(expected) || actual.isEmpty()) {
                mismatches
                        .append("=== ")
                        .append(part, 0, endOfName)
                        .append('\n')
                        .append(textAndFaults[0])
                        .append("---\n")
                        .append(String.join("\n", actual))
                        .append("\n");
            }
        }
        assertEquals("", mismatches.toString());
        assertTrue(fileCount >= 60, fileCount + " invalid files");
    }

    @Test
    void aValidFileIsReadCompletely() throws IOException {
        OperatorConfig config = OperatorReader.read(Files.writeString(folder.resolve("operator.toml"), VALID), SITE);
        assertEquals(
                List.of("agents", "new", "site"),
                config.pools().stream().map(PoolSpec::name).toList());
        assertEquals(
                new PoolOverrides(2, 80_000L, 20_000_000L, false),
                config.pool("agents").overrides());
        assertEquals(512 * 1024, config.pool("agents").maxBodyBytes());
        assertEquals(8, config.routing().pools().get(1).fullStrength());
        assertEquals(3, config.routing().instances(), "the platform's number of balancers");
        assertEquals(1_500_000, config.routing().retryAfter().maxMicros(), "the limit of the platform's settings");
        assertEquals(1, config.routing().quotas().others().perSecond(), 1e-9);
        assertEquals(800_000, config.routing().routes().get(0).deadlineMicros());
        assertEquals(
                0.5,
                config.routing()
                        .routes()
                        .get(0)
                        .destinations()
                        .get(1)
                        .spillTargets()
                        .get(0)
                        .maxShare());
        assertTrue(config.log().json());
        assertEquals(List.of(), config.notes());
        OperatorConfig withNotes = OperatorReader.read(
                Files.writeString(
                        folder.resolve("operator.toml"),
                        VALID.replace("weight = 90", "weight = 0")
                                .replace("weight = 10", "weight = 0")
                                .replace("\"900/s\"", "\"50/s\"")),
                SITE);
        assertEquals(
                List.of(
                        "operator.toml:24: note: route 'bookings' rejects all requests: its weights are 0",
                        "operator.toml:35: note: the tenants' rates add up to 101/s, over the site's"
                                + " 50/s: all tenants together"
                                + " may exceed the site's rate"),
                withNotes.notes());
    }

    @Test
    void eachChangeBetweenTwoFilesIsDescribed() throws IOException {
        Path file = folder.resolve("operator.toml");
        OperatorConfig before = OperatorReader.read(Files.writeString(file, VALID), SITE);
        assertEquals(List.of(), ConfigDiff.between(before, before));
        List<String> expected = new ArrayList<>(List.of(
                "pool agents: limit: gradient from 16, 4 to 200 -> 30 at once",
                "pool fresh: new, upstreams 127.0.0.1:9009, limit none",
                "pool new: dropped; it drains first",
                "route bookings: agents 90%, new 10% -> agents 60%, fresh 40%; 40% of its keys move",
                "route bookings: deadline: 800ms -> 1s",
                "requests that no route takes: refused -> go to site",
                "quota of tenant teesta-line: 100/s, 100 at once -> 120/s, 120 at once"));
        OperatorConfig next = OperatorReader.read(
                Files.writeString(
                        file,
                        VALID.replace("unmatched = \"refuse\"", "unmatched = \"site\"")
                                .replace(
                                        "{ kind = \"gradient\", start = 16, least = 4, most = 200 }",
                                        "{ kind = \"fixed\", most = 30 }")
                                .replace(
                                        "name = \"new\"\ndiscovery = \"127.0.0.1:7001\"\nfull_strength = 8",
                                        "name = \"fresh\"\nupstreams = [\"127.0.0.1:9009\"]")
                                .replace("weight = 90", "weight = 60")
                                .replace("{ pool = \"new\", weight = 10 }", "{ pool = \"fresh\", weight = 40 }")
                                .replace("\"800ms\"", "\"1s\"")
                                .replace("\"100/s\"", "\"120/s\"")),
                SITE);
        assertEquals(expected, ConfigDiff.between(before, next));
    }
}
