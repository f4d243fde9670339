package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
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
    private ChildBalancer balancer;

    @BeforeEach
    void open() throws IOException {
        upstream = new FakeUpstream();
        discovery = new FakeUpstream();
        balancer = new ChildBalancer(discovery, upstream.address());
    }

    @AfterEach
    void close() throws IOException {
        balancer.close();
        upstream.close();
        discovery.close();
    }

    private static void run(String... command) throws IOException, InterruptedException {
        assertEquals(0, new ProcessBuilder(command).inheritIO().start().waitFor());
    }

    /**
     * Discovery is down, and clients that send one request and stay connected use all descriptors that clients may use.
     */
    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void idleClientsLeaveDescriptorsToDiscoveryAndTheNextConfiguration(String membershipMode)
            throws IOException, InterruptedException {
        balancer.start(128, membershipMode, List.of());
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        watch.write(WATCH_RESPONSE_HEAD + BalancerFixture.chunk("\n"));
        balancer.assertServes(upstream);
        List<BalancerFixture.Client> idleClients = new ArrayList<>();
        try {
            for (int i = 0; i < 200; i++) {
                BalancerFixture.Client idleClient = new BalancerFixture.Client(balancer.listenAddress());
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
            try (Stream<Path> open = Files.list(Path.of("/proc", String.valueOf(balancer.pid()), "fd"))) {
                openDescriptors = open.count();
            }
            // The descriptors of the process itself, and of as many clients as it accepts.
            assertTrue(openDescriptors > 41 && openDescriptors <= 128, openDescriptors + " descriptors");
            Files.writeString(
                    balancer.config(),
                    Files.readString(balancer.config()).replace("\"seed\"", "\"noted\": 1, \"seed\""));
            run("kill", "-HUP", String.valueOf(balancer.pid()));
            balancer.nextLineWith("configuration reloaded");
            balancer.assertServes(upstream);
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
        balancer.start(256, membershipMode, List.of());
        discovery.nextRequest().socket().close(); // loads the classes that a failed call needs
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        watch.write(WATCH_RESPONSE_HEAD + BalancerFixture.chunk("\n"));
        try (BalancerFixture.Client client = new BalancerFixture.Client(balancer.listenAddress())) {
            client.send(BalancerFixture.IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            received.respond(200, "Connection: close\r\n", "ok");
            assertEquals(200, client.readStatus());
            run("prlimit", "--pid", String.valueOf(balancer.pid()), "--nofile=1:256");
            watch.socket().close();
            for (int i = 0; i < 200; i++) { // more attempts than the balancer may have descriptors
                client.send(BalancerFixture.IDEMPOTENT_REQUEST);
                int status = client.readStatus();
                assertTrue(status == 503 || status == 502, "status " + status);
            }
            run("prlimit", "--pid", String.valueOf(balancer.pid()), "--nofile=256:256");
            discovery.nextRequest().write(WATCH_RESPONSE_HEAD + BalancerFixture.chunk("\n"));
            client.send(BalancerFixture.IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }
}
