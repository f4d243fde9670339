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

/** Runs the program as a process: its arguments, exit codes, output streams and signals. */
class MainTest {
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();

    private static final List<Process> STARTED = new ArrayList<>();

    /** Ends processes that a failed test has left running. */
    @AfterEach
    void endProcesses() {
        STARTED.forEach(Process::destroyForcibly);
        STARTED.clear();
    }

    private record Run(int exitCode, String out, String err) {}

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
        int exitCode = new ProcessBuilder(command)
                .redirectInput(in.toFile())
                .redirectOutput(out.toFile())
                .redirectError(err.toFile())
                .start()
                .waitFor();
        Run run = new Run(
                exitCode, Files.readString(out, StandardCharsets.UTF_8), Files.readString(err, StandardCharsets.UTF_8));
        for (Path file : List.of(in, out, err)) {
            Files.delete(file);
        }
        return run;
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "adapter", "wirehost extra"})
    void wrongArgumentsGetAUsageLine(String arguments) throws IOException, InterruptedException {
        Run run = run("", arguments.isEmpty() ? new String[0] : arguments.split(" "));
        assertEquals(2, run.exitCode());
        assertTrue(run.err().contains(arguments.isEmpty() ? "Usage: load-balancer" : "Unmatched argument"), run.err());
    }

    @Test
    void theEndOfInputBetweenBatchesIsNotAnError() throws IOException, InterruptedException {
        assertEquals(new Run(0, "DONE\nDONE\n", ""), run("TICK\t1\nGO\nTICK\t2\nGO\n", "wirehost"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "TICK 1 NOISE | line 2: NOISE: field Balancer: no AT line names the instance",
                "TICK 1 | line 2: GO: field GO: the input ends within a batch",
            })
    void malformedInputIsOneMessageAndExitCodeOne(String words, String message)
            throws IOException, InterruptedException {
        String input = words.strip().replace(" NOISE", "\nNOISE").replace("TICK 1", "TICK\t1") + "\n";
        Run run = run(input, "wirehost");
        assertEquals(1, run.exitCode());
        assertTrue(run.err().equals("load-balancer: " + message.strip() + "\n"), run.err());
        assertEquals("", run.out());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/nowhere/config.json | can't read the configuration /nowhere/config.json: ",
                "'' | ROUTER_CONFIG is not set",
            })
    void aBalancerWithoutConfigurationEndsWithOneLine(String file, String message)
            throws IOException, InterruptedException {
        Process process = serve(file);
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(1, process.waitFor());
        assertTrue(err.startsWith("load-balancer: " + message), err);
        assertEquals(1, err.lines().count(), err);
    }

    @Test
    void anAddressInUseEndsTheBalancerWithOneLine() throws IOException, InterruptedException {
        try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Path config = config("127.0.0.1:" + other.getLocalPort());
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

    /** Without a handler the JVM ends on SIGHUP. */
    @Test
    void sighupReloadsTheConfigurationAndDoesNotEndTheProcess() throws IOException, InterruptedException {
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

    /**
     * The signal arrives while the process reads its configuration, as when a release notifies all processes at once.
     */
    @Test
    void sighupDuringTheStartDoesNotEndTheProcessAndIsHandledAfterIt() throws IOException, InterruptedException {
        Path file = config("127.0.0.1:0");
        String text = Files.readString(file);
        Files.delete(file);
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        Process process = serve(file.toString());
        try (BufferedReader err = process.errorReader(StandardCharsets.UTF_8)) {
            try (Writer config = Files.newBufferedWriter(file)) { // blocks until the process opens it for reading
                hangup(process);
                config.write(text);
            }
            awaitClosed(process, file); // else the next write would be read as part of the first
            // Blocks until the process reads the file again. If the process ends first, the pipe needs another reader.
            process.onExit().thenRun(() -> drainTo(file));
            Files.writeString(file, text.replace("127.0.0.1:9\"", "127.0.0.1:7\""));
            assertEquals(
                    "load-balancer: configuration reloaded: discovery at 127.0.0.1:7", nextWith("configuration", err));
            process.destroy();
            assertEquals(0, process.waitFor());
        }
        Files.delete(file);
    }

    /** If SIGHUP is ignored at the start, as under nohup, the JVM leaves it ignored without a message. */
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
            signal("TERM", process); // Process.destroy would also close the stream
            assertEquals(null, nextWith("configuration", err));
            assertEquals(0, process.waitFor());
        }
        Files.delete(config);
    }

    /** Runs the deploy file's run line, with the classes under test in place of the jar. */
    @Test
    void theRunLineEnablesSighupUnderNohup() throws IOException, InterruptedException {
        String run = Files.readAllLines(Path.of("..", "deploy", "balancer.toml")).stream()
                .filter(line -> line.startsWith("run = \""))
                .findFirst()
                .orElseThrow()
                .split("\"")[1];
        String command = run.replaceFirst("-XX:SharedArchiveFile=\\S+", "")
                .replaceFirst(" java ", " '" + JAVA + "' ")
                .replaceFirst("-jar \\S+", "-cp '" + System.getProperty("java.class.path") + "' loadbalancer.Main");
        Path config = config("127.0.0.1:0");
        Process process = start(config.toString(), "sh", "-c", "trap '' HUP; " + command);
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
            try (DirectoryStream<Path> descriptors =
                    Files.newDirectoryStream(Path.of("/proc/" + process.pid() + "/fd"))) {
                for (Path descriptor : descriptors) {
                    open |= Files.isSymbolicLink(descriptor)
                            && Files.readSymbolicLink(descriptor).equals(file);
                }
            } catch (NoSuchFileException e) {
                open = true; // a descriptor was closed during the listing
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

    /**
     * With the heap size of the run line, a list of 50,000 upstreams or more once ended the start with an out-of-memory
     * error.
     */
    @Test
    void aStartWithAVeryLongKnownListServes() throws IOException, InterruptedException {
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
        int exitCode = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xlog:class+load:file=" + loaded,
                        "-cp",
                        System.getProperty("java.class.path"),
                        "loadbalancer.process.ClassArchiveTraining")
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
        assertEquals(0, exitCode);
        String classLog = Files.readString(loaded);
        Files.delete(loaded);
        assertTrue(classLog.contains("loadbalancer.process.BalancerProcess"));
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
            assertTrue(!classLog.contains(" " + part + "."), part);
        }
        assertTrue(!classLog.contains("loadbalancer.routing.RoutingGateway")
                && !classLog.contains("loadbalancer.routing.UpstreamPool "));
    }
}
