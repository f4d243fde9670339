package loadbalancer.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the output and the exit codes of the commands for operator files. */
class CommandsTest {
    private static final String OPERATOR_FILE =
            """
        [front]
        unmatched = "refuse"
        [[pool]]
        name = "old"
        upstreams = ["127.0.0.1:9001"]
        limit = { kind = "fixed", most = 8 }
        [[pool]]
        name = "new"
        upstreams = ["127.0.0.1:9002"]
        [[route]]
        name = "book"
        path = "/api/{seat}"
        methods = ["POST"]
        to = "old"
        spill = ["new"]
        [[route]]
        name = "counter"
        path = "/api/{seat}"
        headers = { X-Channel = "counter" }
        to = "new"
        [quota]
        rate = "100/s"
        [quota.tenant.t1]
        rate = "5/s"
        """;

    @TempDir
    private Path directory;

    private String out;
    private String err;

    private int run(String... arguments) {
        StringWriter outWriter = new StringWriter();
        StringWriter errWriter = new StringWriter();
        int exitCode = Commands.run(new PrintWriter(outWriter, true), new PrintWriter(errWriter, true), arguments);
        out = outWriter.toString();
        err = errWriter.toString();
        return exitCode;
    }

    private String writeFile(String name, String text) throws IOException {
        return Files.writeString(directory.resolve(name), text).toString();
    }

    @Test
    void checkListsEachErrorAndExitsWithTwo() throws IOException {
        assertEquals(0, run("check", writeFile("a.toml", OPERATOR_FILE)));
        assertEquals("a.toml: sound; 3 pools, 2 routes", out.strip());
        assertEquals(
                2,
                run(
                        "check",
                        writeFile(
                                "b.toml",
                                OPERATOR_FILE
                                        .replace("to = \"old\"", "to = \"odl\"")
                                        .replace("8 }", "-8 }"))));
        assertEquals(
                List.of(
                        "b.toml:6: 'most' is -8: expected a number of 0 or more",
                        "b.toml:14: no pool 'odl'; did you mean 'old'?"),
                err.lines().toList());
        assertEquals(2, run("check", directory.resolve("none.toml").toString()));
        assertEquals(2, run("chekc"));
        assertEquals(2, run());
        assertEquals(
                2,
                run(
                        "check",
                        writeFile("c.toml", OPERATOR_FILE),
                        "--config",
                        directory.resolve("none.json").toString()));
    }

    @Test
    void explainShowsRoutePoolLimitsAndWhyOtherRoutesDoNotMatch() throws IOException {
        String file = writeFile("a.toml", OPERATOR_FILE);
        assertEquals(0, run("explain", file, "--request", "POST /api/k1", "--tenant", "t1"));
        assertEquals(
                List.of(
                        "route    book: POST /api/{seat}",
                        "pool     old",
                        "spills   to new up to 100%, as the health of old falls",
                        "limit    of pool old: 8 at once",
                        "rate     of the route: none",
                        "retries  none",
                        "quota    that of tenant 't1'",
                        "not      counter: header x-channel is missing, not 'counter'"),
                out.lines().toList());
        assertEquals(0, run("explain", file, "--request", "POST /api/k1", "--header", "x-channel: counter"));
        assertTrue(out.contains("pool     new"), out);
        assertTrue(out.contains("not      book: would take it, but is less specific"), out);
        assertEquals(1, run("explain", file, "--request", "GET /api/k1"));
        assertTrue(out.contains("404") && out.contains("not      book: the method is GET, not POST"), out);
        assertEquals(1, run("explain", file, "--request", "GET /api/../k1"));
        assertEquals(2, run("explain", file, "--request", "GET"));
    }

    @Test
    void diffListsTheChangesAndRoutesListsTheRoutes() throws IOException {
        String file = writeFile("a.toml", OPERATOR_FILE);
        assertEquals(0, run("diff", file, file));
        assertEquals(1, run("diff", file, writeFile("b.toml", OPERATOR_FILE.replace("most = 8", "most = 9"))));
        assertEquals("pool old: limit: 8 at once -> 9 at once", out.strip());
        assertEquals(0, run("routes", file));
        assertEquals(4, out.lines().count());
        assertTrue(out.lines().skip(1).findFirst().orElse("").startsWith("counter"), out);
    }
}
