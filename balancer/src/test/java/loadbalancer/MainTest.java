package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The program as it is started: arguments, exit codes and what goes to which stream. */
class MainTest {
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();

    private static final List<Process> STARTED = new ArrayList<>();

    /** A test that fails half-way leaves no process behind. */
    @AfterEach
    void end() {
        STARTED.forEach(Process::destroyForcibly);
        STARTED.clear();
    }

    private record Run(int exit, String out, String err) {}

    private static Run run(String input, String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "loadbalancer.Main"));
        command.addAll(List.of(arguments));
        Path in = Files.createTempFile("load-balancer", ".in");
        Path out = Files.createTempFile("load-balancer", ".out");
        Path err = Files.createTempFile("load-balancer", ".err");
        Files.writeString(in, input);
        int exit = new ProcessBuilder(command)
                .redirectInput(in.toFile())
                .redirectOutput(out.toFile())
                .redirectError(err.toFile())
                .start()
                .waitFor();
        Run run = new Run(
                exit, Files.readString(out, StandardCharsets.UTF_8), Files.readString(err, StandardCharsets.UTF_8));
        for (Path file : List.of(in, out, err)) {
            Files.delete(file);
        }
        return run;
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "adapter", "wirehost extra"})
    void wrongArgumentsGetAUsageLine(String arguments) throws IOException, InterruptedException {
        Run run = run("", arguments.isEmpty() ? new String[0] : arguments.split(" "));
        assertEquals(2, run.exit());
        assertTrue(run.err().contains(arguments.isEmpty() ? "Usage: load-balancer" : "Unmatched argument"), run.err());
    }

    @Test
    void theEndOfInputBetweenBatchesIsNormal() throws IOException, InterruptedException {
        assertEquals(new Run(0, "DONE\nDONE\n", ""), run("TICK\t1\nGO\nTICK\t2\nGO\n", "wirehost"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "TICK 1 NOISE | line 2: NOISE: field Balancer: no AT line names the instance",
                "TICK 1 | line 2: GO: field GO: the input ends within a batch",
            })
    void malformedInputIsOneMessageAndExitOne(String words, String complaint) throws IOException, InterruptedException {
        String input = words.strip().replace(" NOISE", "\nNOISE").replace("TICK 1", "TICK\t1") + "\n";
        Run run = run(input, "wirehost");
        assertEquals(1, run.exit());
        assertTrue(run.err().equals("load-balancer: " + complaint.strip() + "\n"), run.err());
        assertEquals("", run.out());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/nowhere/config.json | can't read the configuration /nowhere/config.json: ",
                "'' | ROUTER_CONFIG is not set",
            })
    void aBalancerWithoutConfigurationEndsWithOneLine(String file, String complaint)
            throws IOException, InterruptedException {
        Process process = serve(file);
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(1, process.waitFor());
        assertTrue(err.startsWith("load-balancer: " + complaint), err);
        assertEquals(1, err.lines().count(), err);
    }

    @Test
    void anAddressInUseEndsTheBalancerWithOneLine() throws IOException, InterruptedException {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Path config = config("127.0.0.1:" + taken.getLocalPort());
            Process process = serve(config.toString());
            String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(1, process.waitFor());
            assertTrue(err.startsWith("load-balancer: can't listen on "), err);
            assertEquals(1, err.lines().count(), err);
            Files.delete(config);
        }
    }

    @Test
    void sigtermEndsABalancerWithExitCodeZero() throws IOException, InterruptedException {
        Path config = config("127.0.0.1:0");
        Process process = serve(config.toString());
        try (BufferedReader err = process.errorReader(StandardCharsets.UTF_8)) {
            String line = err.readLine();
            assertTrue(line.startsWith("load-balancer: listening on 127.0.0.1:"), line);
            process.destroy(); // SIGTERM
            assertEquals(0, process.waitFor());
        }
        Files.delete(config);
    }

    /** By itself a JVM ends on SIGHUP. */
    @Test
    void sighupReloadsTheConfigurationAndEndsNothing() throws IOException, InterruptedException {
        Path config = config("127.0.0.1:0");
        Process process = serve(config.toString());
        try (BufferedReader err = process.errorReader(StandardCharsets.UTF_8)) {
            err.readLine();
            Files.writeString(config, Files.readString(config).replace("127.0.0.1:9\"", "127.0.0.1:7\""));
            hangup(process);
            assertEquals(
                    "load-balancer: configuration reloaded: discovery at 127.0.0.1:7", nextWith("configuration", err));
            Files.writeString(config, "{");
            hangup(process);
            String line = nextWith("configuration", err);
            assertTrue(line.startsWith("load-balancer: configuration rejected: can't read"), line);
            process.destroy();
            assertEquals(0, process.waitFor());
        }
        Files.delete(config);
    }

    /** It comes while the process still reads its configuration, as when all are told of a new one in a release. */
    @Test
    void sighupDuringTheStartEndsNothingAndIsHandledAfterIt() throws IOException, InterruptedException {
        Path file = config("127.0.0.1:0");
        String text = Files.readString(file);
        Files.delete(file);
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        Process process = serve(file.toString());
        try (BufferedReader err = process.errorReader(StandardCharsets.UTF_8)) {
            try (Writer config = Files.newBufferedWriter(file)) { // waits until it is being read
                hangup(process);
                config.write(text);
            }
            awaitClosed(process, file); // else what comes next would be read as the same file's
            // Waits until it is read once more; without a reader it would wait for good, so the process must live.
            process.onExit().thenRun(() -> drainTo(file));
            Files.writeString(file, text.replace("127.0.0.1:9\"", "127.0.0.1:7\""));
            assertEquals(
                    "load-balancer: configuration reloaded: discovery at 127.0.0.1:7", nextWith("configuration", err));
            process.destroy();
            assertEquals(0, process.waitFor());
        }
        Files.delete(file);
    }

    /** As under nohup: the JVM leaves the signal ignored, and gives no other sign of it. */
    @Test
    void anIgnoredSighupIsLoggedAtTheStart() throws IOException, InterruptedException {
        Path config = config("127.0.0.1:0");
        Process process = start(
                config.toString(),
                "sh",
                "-c",
                "trap '' HUP; exec \"$0\" \"$@\"",
                JAVA,
                "-cp",
                System.getProperty("java.class.path"),
                "loadbalancer.Main",
                "serve");
        try (BufferedReader err = process.errorReader(StandardCharsets.UTF_8)) {
            String line = err.readLine();
            assertTrue(line.startsWith("load-balancer: SIGHUP is ignored here, as under nohup: "), line);
            assertTrue(err.readLine().startsWith("load-balancer: listening on "));
            Files.writeString(config, Files.readString(config).replace("127.0.0.1:9\"", "127.0.0.1:7\""));
            hangup(process);
            signal("TERM", process); // Process.destroy would close the stream as well
            assertEquals(null, nextWith("configuration", err));
            assertEquals(0, process.waitFor());
        }
        Files.delete(config);
    }

    /** The deploy file's own line, with this test's classes in place of the jar. */
    @Test
    void theRunLineTakesSighupUnderNohup() throws IOException, InterruptedException {
        String run = Files.readAllLines(Path.of("..", "deploy", "balancer.toml")).stream()
                .filter(l -> l.startsWith("run = \""))
                .findFirst()
                .orElseThrow()
                .split("\"")[1];
        String here = run.replaceFirst("-XX:SharedArchiveFile=\\S+", "")
                .replaceFirst(" java ", " '" + JAVA + "' ")
                .replaceFirst("-jar \\S+", "-cp '" + System.getProperty("java.class.path") + "' loadbalancer.Main");
        Path config = config("127.0.0.1:0");
        Process process = start(config.toString(), "sh", "-c", "trap '' HUP; " + here);
        try (BufferedReader err = process.errorReader(StandardCharsets.UTF_8)) {
            String line = nextWith("load-balancer", err);
            assertTrue(line.startsWith("load-balancer: listening on "), line);
            Files.writeString(config, Files.readString(config).replace("127.0.0.1:9\"", "127.0.0.1:7\""));
            hangup(process);
            assertEquals(
                    "load-balancer: configuration reloaded: discovery at 127.0.0.1:7", nextWith("configuration", err));
            process.destroy();
            assertEquals(0, process.waitFor());
        }
        Files.delete(config);
    }

    private static void awaitClosed(Process process, Path file) throws IOException {
        boolean open = true;
        while (open && process.isAlive()) {
            open = false;
            try (DirectoryStream<Path> all = Files.newDirectoryStream(Path.of("/proc/" + process.pid() + "/fd"))) {
                for (Path fd : all) {
                    open |= Files.isSymbolicLink(fd)
                            && Files.readSymbolicLink(fd).equals(file);
                }
            } catch (NoSuchFileException e) {
                open = true; // one was closed while they were looked at
            }
        }
    }

    private static void drainTo(Path fifo) {
        try {
            Files.readString(fifo);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void hangup(Process process) throws IOException, InterruptedException {
        signal("HUP", process);
    }

    private static void signal(String name, Process process) throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                        .start()
                        .waitFor());
    }

    private static String nextWith(String word, BufferedReader lines) throws IOException {
        String line = lines.readLine();
        while (line != null && !line.contains(word)) {
            line = lines.readLine();
        }
        return line;
    }

    private static Path config(String listen) throws IOException {
        Path config = Files.createTempFile("load-balancer", ".json");
        return Files.writeString(
                config,
                """
            {"listen": "%s", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964", "settings": {
              "Balancers": 1, "Quantum": 5000, "MembershipMode": "ask",
              "Classes": [{"Name": "a", "Idempotency": "safe", "GoalTime": 600000, "GiveUp": 1200000}],
              "Limits": {"TryLimit": 3, "MayDuplicate": true, "Cancel": true, "Probes": true},
              "Rules": {"AnswerSlack": 20000, "DrainGrace": 1000000, "AskWithin": 10000000, "ColdFrom": 0.2,
                "RampTime": 20000000, "OverloadFactor": 2.5, "Fall": 1500000}}}
            """
                        .formatted(listen));
    }

    /** With the heap of the run line: it once ended by memory from 50,000 upstreams on. */
    @Test
    void aStartWithTheLongestListServes() throws IOException, InterruptedException {
        Path file = config("127.0.0.1:0");
        String settings = Files.readString(file).strip();
        try (Writer out = Files.newBufferedWriter(file)) {
            out.write(settings.substring(0, settings.length() - 1));
            out.write(", \"known\": {\"rev\": 41, \"all\": true, \"targets\": [");
            for (int i = 0; i < 200_000; i++) {
                out.write((i == 0 ? "" : ",") + "{\"uid\":\"s-" + Integer.toHexString(0x5000_0000 + i * 7_919)
                        + "\",\"endpoint\":\"127.0." + i % 250
                        + ".1:5000\",\"az\":\"a\",\"model\":\"m2\",\"pod_group\":"
                        + i / 4 + ",\"state\":\"in_service\",\"capacity_hint\":1.0,\"boot_ms\":0}");
            }
            out.write("]}}");
        }
        Process process = start(
                file.toString(),
                JAVA,
                "-XX:+UseSerialGC",
                "-Xms40m",
                "-Xmx40m",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                System.getProperty("java.class.path"),
                "loadbalancer.Main",
                "serve");
        try (BufferedReader err = process.errorReader(StandardCharsets.UTF_8)) {
            String line = nextWith("holds", err);
            assertTrue(String.valueOf(line).startsWith("load-balancer: holds one part in 32 of a list"), line);
            process.destroy();
            assertEquals(0, process.waitFor());
        }
        Files.delete(file);
    }

    private static Process serve(String config) throws IOException {
        return start(config, JAVA, "-cp", System.getProperty("java.class.path"), "loadbalancer.Main", "serve");
    }

    private static Process start(String config, String... command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("ROUTER_"));
        if (!config.isEmpty()) {
            builder.environment().put("ROUTER_CONFIG", config);
        }
        builder.environment().put("ROUTER_NAME", "n1");
        Process process = builder.start();
        STARTED.add(process);
        return process;
    }

    @Test
    void aBalancerWithoutAnOperatorFileLoadsNoneOfItsClasses() throws IOException, InterruptedException {
        Path loaded = Files.createTempFile("load-balancer", ".loaded");
        int exit = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xlog:class+load:file=" + loaded,
                        "-cp",
                        System.getProperty("java.class.path"),
                        "loadbalancer.process.ClassArchiveTraining")
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
        assertEquals(0, exit);
        String all = Files.readString(loaded);
        Files.delete(loaded);
        assertTrue(all.contains("loadbalancer.process.BalancerProcess"));
        for (String part : List.of(
                "loadbalancer.operator",
                "loadbalancer.router",
                "loadbalancer.routes",
                "loadbalancer.limits",
                "loadbalancer.toml",
                "loadbalancer.cli",
                "loadbalancer.routing.RoutingGateway",
                "com.fasterxml.jackson.databind",
                "picocli")) {
            assertTrue(!all.contains(" " + part + "."), part);
        }
        assertTrue(!all.contains("loadbalancer.routing.RoutingGateway")
                && !all.contains("loadbalancer.routing.UpstreamPool "));
    }
}
