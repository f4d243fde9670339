package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Runs a balancer in a process of its own, with a descriptor limit that the operating system sets. */
final class ChildBalancer implements Closeable {
    private static final Path DEPLOY_FILE =
            Path.of("").toAbsolutePath().getParent().resolve("deploy/balancer.toml");

    private final FakeUpstream discovery;
    private final String endpointAddress;
    private final Path config;
    private Process process;
    private BufferedReader err;
    private InetSocketAddress listenAddress;

    /** Creates a balancer that is not started, with one endpoint at {@code endpointAddress}. */
    ChildBalancer(FakeUpstream discovery, String endpointAddress) throws IOException {
        this.discovery = discovery;
        this.endpointAddress = endpointAddress;
        config = Files.createTempFile("load-balancer", ".json");
    }

    /** Returns the options of the JVM in the run line, without the archive of classes, which fits another jar. */
    static List<String> runLineOptions() throws IOException {
        List<String> words = runLineWords();
        return words.subList(words.indexOf("java") + 1, words.indexOf("-jar")).stream()
                .filter(option -> !option.contains("SharedArchiveFile"))
                .toList();
    }

    private static List<String> runLineWords() throws IOException {
        String run = Files.readAllLines(DEPLOY_FILE).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        return Arrays.asList(run.split(" "));
    }

    /** Puts the variables that the run line sets into {@code environment}. */
    private static void addRunLineVariables(Map<String, String> environment) throws IOException {
        List<String> words = runLineWords();
        for (String word : words.subList(0, words.indexOf("java"))) {
            String[] variable = word.split("=", 2);
            if (variable.length == 2 && variable[0].matches("[A-Z_]+")) {
                environment.put(variable[0], variable[1]);
            }
        }
    }

    /** Returns the most memory that the process has had resident so far, in bytes. */
    long peakResidentBytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid() + "/status"))) {
            if (line.startsWith("VmHWM:")) {
                return 1024 * Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException("the system does not tell the peak of the resident memory");
    }

    /** Starts the process and waits until it listens. */
    void start(int maxDescriptors, String membershipMode, List<String> jvmOptions) throws IOException {
        Files.writeString(config, configuration(maxDescriptors, membershipMode));
        List<String> command = new ArrayList<>(List.of(
                "sh",
                "-c",
                "ulimit -n " + maxDescriptors + "; exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "loadbalancer.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("ROUTER_"));
        addRunLineVariables(builder.environment());
        builder.environment().put("ROUTER_CONFIG", config.toString());
        process = builder.start();
        err = process.errorReader(StandardCharsets.UTF_8);
        String line = nextLineWith("listening on ");
        listenAddress = new InetSocketAddress("127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
    }

    private String configuration(int maxDescriptors, String membershipMode) {
        return """
            {"name": "n1", "listen": "127.0.0.1:0", "discovery": "%s", "seed": "8c1f30d27a5be964",
             "limits": {"sockets": %d},
             "known": {"rev": 41, "all": true, "targets": [
              {"uid": "s1", "endpoint": "%s", "state": "in_service", "boot_ms": 0}]}, "settings": {
              "Balancers": 1, "Quantum": 5000, "MembershipMode": "%s",
              "Classes": [{"Name": "read", "Idempotency": "safe", "GoalTime": 600000, "GiveUp": 30000000},
               {"Name": "book", "Idempotency": "unsafe", "GoalTime": 600000, "GiveUp": 30000000}],
              "Limits": {"TryLimit": 3, "MayDuplicate": true, "Cancel": true, "Probes": true},
              "Rules": {"AnswerSlack": 20000, "DrainGrace": 1000000, "AskWithin": 10000000, "ColdFrom": 0.2,
                "RampTime": 20000000, "OverloadFactor": 2.5, "Fall": 1500000}}}
            """
                .formatted(discovery.address(), maxDescriptors, endpointAddress, membershipMode);
    }

    /** Returns the next line of the log that contains {@code word}; fails if the process ends without one. */
    String nextLineWith(String word) {
        try {
            String line = err.readLine();
            while (line != null && !line.contains(word)) {
                line = err.readLine();
            }
            assertTrue(line != null, "the process ended without a line that contains: " + word);
            return line;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    InetSocketAddress listenAddress() {
        return listenAddress;
    }

    Path config() {
        return config;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a request, which {@code upstream} has to receive, and reads its response. */
    void assertServes(FakeUpstream upstream) throws IOException, InterruptedException {
        try (BalancerFixture.Client client = new BalancerFixture.Client(listenAddress)) {
            client.send(BalancerFixture.IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            try {
                process.destroyForcibly().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        Files.delete(config);
    }
}
