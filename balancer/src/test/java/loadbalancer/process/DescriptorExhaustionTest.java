package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs a balancer in a separate process, whose descriptor limit is set by the operating system. */
@Timeout(120)
class DescriptorExhaustionTest {
    private static final String WATCH_RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String READY_REQUEST = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    private FakeUpstream upstream;
    private FakeUpstream discovery;
    private Path config;
    private Process process;
    private BufferedReader err;
    private InetSocketAddress listenAddress;

    @BeforeEach
    void open() throws IOException {
        upstream = new FakeUpstream();
        discovery = new FakeUpstream();
        config = Files.createTempFile("load-balancer", ".json");
    }

    @AfterEach
    void close() throws IOException, InterruptedException {
        process.destroyForcibly().waitFor();
        upstream.close();
        discovery.close();
        Files.delete(config);
    }

    private void start(int maxDescriptors, String membershipMode) throws IOException {
        Files.writeString(
                config,
                """
            {"name": "n1", "listen": "127.0.0.1:0", "discovery": "%s", "seed": "8c1f30d27a5be964",
             "known": {"rev": 41, "all": true, "targets": [%s]}, "settings": {
              "Balancers": 1, "Quantum": 5000, "MembershipMode": "%s",
              "Classes": [{"Name": "read", "Idempotency": "safe", "GoalTime": 600000, "GiveUp": 30000000}],
              "Limits": {"TryLimit": 3, "MayDuplicate": true, "Cancel": true, "Probes": true},
              "Rules": {"AnswerSlack": 20000, "DrainGrace": 1000000, "AskWithin": 10000000, "ColdFrom": 0.2,
                "RampTime": 20000000, "OverloadFactor": 2.5, "Fall": 1500000}}}
            """
                        .formatted(discovery.address(), endpointEntry(), membershipMode));
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -n " + maxDescriptors + "; exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "loadbalancer.Main",
                "serve");
        builder.environment().keySet().removeIf(name -> name.startsWith("ROUTER_"));
        builder.environment().put("ROUTER_CONFIG", config.toString());
        process = builder.start();
        err = process.errorReader(StandardCharsets.UTF_8);
        String line = nextWith("listening on ");
        listenAddress = new InetSocketAddress("127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
    }

    private String endpointEntry() {
        return "{\"uid\": \"s1\", \"endpoint\": \"" + upstream.address()
                + "\", \"state\": \"in_service\", \"boot_ms\": 0}";
    }

    private String nextWith(String word) throws IOException {
        String line = err.readLine();
        while (line != null && !line.contains(word)) {
            line = err.readLine();
        }
        assertTrue(line != null, "the process ended without a line that contains: " + word);
        return line;
    }

    private static void run(String... command) throws IOException, InterruptedException {
        assertEquals(0, new ProcessBuilder(command).inheritIO().start().waitFor());
    }

    private void assertRequestIsServed() throws IOException, InterruptedException {
        try (BalancerFixture.Client client = new BalancerFixture.Client(listenAddress)) {
            client.send(BalancerFixture.IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }

    /**
     * Discovery is down, and clients that send one request and stay connected use all descriptors that clients may use.
     */
    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void idleClientsLeaveDescriptorsToDiscoveryAndTheNextConfiguration(String membershipMode)
            throws IOException, InterruptedException {
        start(128, membershipMode);
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        watch.write(WATCH_RESPONSE_HEAD + BalancerFixture.chunk("\n"));
        assertRequestIsServed();
        List<BalancerFixture.Client> idleClients = new ArrayList<>();
        try {
            for (int i = 0; i < 200; i++) {
                BalancerFixture.Client idleClient = new BalancerFixture.Client(listenAddress);
                idleClients.add(idleClient);
                if (i < 30) {
                    idleClient.send(READY_REQUEST).readStatus();
                } else {
                    idleClient.send(READY_REQUEST); // accepted later, or never
                }
            }
            for (int i = 0; i < 3; i++) {
                watch.reset(); // by discovery that is down: each call ends like that
                watch = discovery.nextRequest();
            }
            watch.write(WATCH_RESPONSE_HEAD + BalancerFixture.chunk("\n"));
            long openDescriptors;
            try (Stream<Path> open = Files.list(Path.of("/proc", String.valueOf(process.pid()), "fd"))) {
                openDescriptors = open.count();
            }
            // The descriptors of the process itself, and of as many clients as it accepts.
            assertTrue(openDescriptors > 41 && openDescriptors <= 128, openDescriptors + " descriptors");
            Files.writeString(config, Files.readString(config).replace("\"seed\"", "\"noted\": 1, \"seed\""));
            run("kill", "-HUP", String.valueOf(process.pid()));
            nextWith("configuration reloaded");
            assertRequestIsServed();
        } finally {
            for (BalancerFixture.Client idleClient : idleClients) {
                idleClient.close();
            }
        }
    }

    /** For a while the process can open no descriptor at all, neither for a call to discovery nor for an upstream. */
    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void callsThatFindNoDescriptorAreRetriedOnceThereIsOne(String membershipMode)
            throws IOException, InterruptedException {
        start(256, membershipMode);
        discovery.nextRequest().socket().close(); // loads the classes that a failed call needs
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        watch.write(WATCH_RESPONSE_HEAD + BalancerFixture.chunk("\n"));
        try (BalancerFixture.Client client = new BalancerFixture.Client(listenAddress)) {
            client.send(BalancerFixture.IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            received.respond(200, "Connection: close\r\n", "ok");
            assertEquals(200, client.readStatus());
            run("prlimit", "--pid", String.valueOf(process.pid()), "--nofile=1:256");
            watch.socket().close();
            for (int i = 0; i < 200; i++) { // more attempts than the balancer may have descriptors
                client.send(BalancerFixture.IDEMPOTENT_REQUEST);
                int status = client.readStatus();
                assertTrue(status == 503 || status == 502, "status " + status);
            }
            run("prlimit", "--pid", String.valueOf(process.pid()), "--nofile=256:256");
            discovery.nextRequest().write(WATCH_RESPONSE_HEAD + BalancerFixture.chunk("\n"));
            client.send(BalancerFixture.IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }
}
