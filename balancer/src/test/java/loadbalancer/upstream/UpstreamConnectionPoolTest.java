package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.process.BalancerFixture;
import loadbalancer.process.FakeUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Connections to upstreams: idle timeouts, drains, cancelled attempts, late duplicates and probes. */
class UpstreamConnectionPoolTest extends BalancerFixture {
    @Test
    void idleConnectionsAreClosedBeforeTheUpstreamWouldCloseThem() throws IOException, InterruptedException {
        start(Map.of("IdleClose", 400_000), 1024);
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            received.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            assertTrue(isClosedSoon(received));
        }
    }

    @Test
    @Timeout(60)
    void nothingIsSentAfterTheDrainGracePeriod() throws IOException, InterruptedException {
        start(Map.of(), 1024);
        onLoop(() -> policy.actions.fetchList());
        discovery.nextRequest().respond(200, "", "{\"rev\":50,\"all\":true,\"targets\":[]}");
        assertEquals("SNAPSHOT []", policy.nextEvent());
        // The policy of this test continues to send requests until the grace period has ended.
        try (Client client = new Client(listenAddress)) {
            String outcome = "OK closed";
            while (outcome.startsWith("OK")) {
                client.send(IDEMPOTENT_REQUEST);
                outcome = policy.events.poll(10, TimeUnit.MILLISECONDS);
                while (outcome == null) {
                    if (!upstream.isEmpty()) {
                        upstream.nextRequest().respond(200, "", "ok");
                    }
                    outcome = policy.events.poll(10, TimeUnit.MILLISECONDS);
                }
                client.readStatus();
            }
            assertEquals("NOT_SENT", outcome);
        }
    }

    /** The listener's backlog is full, so the connections are established only when the test accepts some. */
    @Test
    @Timeout(60)
    void attemptThatWaitsForItsConnectionIsNotSentAfterTheDrainGracePeriod() throws IOException, InterruptedException {
        List<Client> clients = new ArrayList<>();
        try (FullListener fullListener = new FullListener()) {
            endpointAddress = fullListener.address();
            start(Map.of("DialTimeout", 30_000_000), 1024);
            clients.add(new Client(listenAddress).send(IDEMPOTENT_REQUEST.replace("r1", "r0")));
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            onLoop(() -> policy.actions.fetchList());
            discovery.nextRequest().respond(200, "", "{\"rev\":50,\"all\":true,\"targets\":[]}");
            assertEquals("SNAPSHOT []", policy.nextEvent());
            String outcome = null;
            while (outcome == null) { // a new attempt fails as soon as the grace period has ended
                clients.add(new Client(listenAddress).send(IDEMPOTENT_REQUEST.replace("r1", "r" + clients.size())));
                outcome = policy.events.poll(100, TimeUnit.MILLISECONDS);
            }
            assertEquals("NOT_SENT", outcome);
            fullListener.acceptAll();
            for (int i = 1; i < clients.size(); i++) {
                assertEquals("NOT_SENT", policy.nextEvent());
            }
            Socket attemptSocket = fullListener.nextAccepted();
            attemptSocket.setSoTimeout(20_000);
            assertEquals(-1, attemptSocket.getInputStream().read(), "a byte was written to the connection");
        } finally {
            for (Client client : clients) {
                client.close();
            }
        }
    }

    /** The attempt ends although the policy does not cancel it, as the settings may forbid it to. */
    @Test
    @Timeout(60)
    void attemptThatWaitsForItsConnectionIsCancelledOnceItsClientHasLeft() throws IOException, InterruptedException {
        policy.cancelsForGoneClients = false;
        try (FullListener fullListener = new FullListener()) {
            endpointAddress = fullListener.address();
            start(Map.of("DialTimeout", 30_000_000), 1024);
            try (Client client = new Client(listenAddress)) {
                client.send(IDEMPOTENT_REQUEST.replace("20000", "500000")); // a long deadline
                assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            }
            assertEquals("client gone", policy.nextEvent());
            assertEquals("NOT_SENT closed", policy.nextEvent());
        }
    }

    /** A duplicate that arrives when the next request is assigned to the connection is not taken for its response. */
    @Test
    void lateDuplicateResponseIsNotForwarded() throws IOException, InterruptedException {
        start();
        CountDownLatch firstOutcome = new CountDownLatch(1);
        CountDownLatch duplicateSent = new CountDownLatch(1);
        try (Client client = new Client(listenAddress);
                Client secondClient = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            policy.endpointId = null; // the next request has no attempt until the first one has its outcome
            secondClient.send(IDEMPOTENT_REQUEST.replace("r1", "r2"));
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            policy.onOutcome = () -> {
                policy.onOutcome = () -> {};
                policy.actions.send("2", "s1", 0);
                firstOutcome.countDown();
                try {
                    duplicateSent.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            };
            received.respond(200, "", "first");
            firstOutcome.await();
            received.respond(200, "", "second");
            duplicateSent.countDown();
            assertEquals(200, client.readStatus());
            FakeUpstream.ReceivedRequest second = upstream.nextRequest();
            assertEquals("r2", second.header("Req-Id"));
            assertEquals(2, second.connectionNumber());
            second.respond(200, "", "its own");
            assertEquals(200, secondClient.readStatus());
            assertEquals("its own", new String(secondClient.body, StandardCharsets.UTF_8));
        }
    }

    /**
     * Guards against a copy that is taken for the response to the next request, however late it comes: here it is held
     * back until the balancer sends again, as a system does that waits for an acknowledgement.
     */
    @ParameterizedTest
    @ValueSource(ints = {5, 70_000})
    void copyThatIsHeldBackUntilTheNextRequestIsNotForwarded(int bytes) throws Exception {
        start();
        upstream.queuesHealthChecks = true;
        String response = "HTTP/1.1 200 X\r\nContent-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes);
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().write(response);
            assertEquals(200, client.readStatus());
            client.send(IDEMPOTENT_REQUEST.replace("r1", "r2"));
            FakeUpstream.ReceivedRequest check = upstream.nextRequest();
            assertEquals("GET /-/healthy HTTP/1.1", check.requestLine());
            assertNull(check.header("Req-Id"));
            check.write(response + "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
            FakeUpstream.ReceivedRequest second = upstream.nextRequest();
            assertEquals("r2", second.header("Req-Id"));
            assertEquals(2, second.connectionNumber());
            second.respond(200, "", "its own");
            assertEquals(200, client.readStatus());
            assertEquals("its own", new String(client.body, StandardCharsets.UTF_8));
        }
    }

    /** Guards against a copy that comes later than the health check and is taken for the response to a request. */
    @ParameterizedTest
    @CsvSource({"first,true", "first,false", "'',true", "'',false"})
    void responseThatMayBeACopyIsConfirmed(String copyOf, boolean copied) throws Exception {
        start();
        upstream.queuesHealthChecks = true;
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "first");
            assertEquals(200, client.readStatus());
            client.send(IDEMPOTENT_REQUEST.replace("r1", "r2"));
            upstream.nextRequest().respond(200, "", ""); // the health check
            FakeUpstream.ReceivedRequest second = upstream.nextRequest();
            assertEquals("r2", second.header("Req-Id"));
            second.respond(200, "", copyOf);
            FakeUpstream.ReceivedRequest confirmation = upstream.nextRequest();
            assertEquals("GET /-/healthy HTTP/1.1", confirmation.requestLine());
            confirmation.respond(200, "", copied ? "its own" : "");
            assertEquals(200, client.readStatus());
            assertEquals(copied ? "its own" : copyOf, new String(client.body, StandardCharsets.UTF_8));
            client.send(IDEMPOTENT_REQUEST.replace("r1", "r3"));
            assertEquals(copied ? 2 : 1, upstream.nextRequest().connectionNumber());
        }
    }

    /** A well-behaved upstream costs a health check between two requests, and no connection. */
    @Test
    void connectionIsKeptForManyRequests() throws Exception {
        start();
        try (Client client = new Client(listenAddress)) {
            for (int i = 0; i < 10; i++) {
                client.send(IDEMPOTENT_REQUEST);
                upstream.nextRequest().respond(200, "", "response " + i);
                assertEquals(200, client.readStatus());
            }
        }
        assertEquals(1, upstream.connectionCount());
        assertTrue(upstream.healthCheckCount() >= 9, "health checks: " + upstream.healthCheckCount());
    }

    /** A request that leaves while it waits for the check does not take its connection with it. */
    @Test
    void connectionIsIdleAgainWhenItsWaitingRequestHasLeft() throws Exception {
        start();
        upstream.queuesHealthChecks = true;
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "first");
            assertEquals(200, client.readStatus());
            assertEquals("OK closed", policy.nextEvent());
        }
        FakeUpstream.ReceivedRequest check = upstream.nextRequest();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
        }
        assertEquals("client gone", policy.nextEvent());
        assertEquals("NOT_SENT closed", policy.nextEvent());
        check.respond(200, "", "");
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            assertEquals(1, received.connectionNumber());
            received.respond(200, "", "last");
            assertEquals(200, client.readStatus());
        }
    }

    /** Guards against an attempt that is written after the end of its permission, as it waited for a connection. */
    @Test
    @Timeout(60)
    void attemptIsNotSentAfterItsPermissionHasEnded() throws Exception {
        try (FullListener fullListener = new FullListener()) {
            endpointAddress = fullListener.address();
            start(Map.of("DialTimeout", 30_000_000), 1024);
            policy.permittedMicros = 200_000;
            try (Client client = new Client(listenAddress)) {
                client.send(IDEMPOTENT_REQUEST.replace("20000", "500000")); // a long deadline
                assertEquals("NOT_SENT", policy.nextEvent());
                assertEquals(502, client.readStatus());
                policy.permittedMicros = Long.MAX_VALUE;
                fullListener.acceptAll();
                client.send(IDEMPOTENT_REQUEST.replace("r1", "r2"));
                String head = FakeUpstream.readHead(fullListener.nextAccepted().getInputStream());
                assertTrue(head.contains("Req-Id: r2"), head);
            }
        }
    }

    /** Guards against a check of the permission before the wait instead of at the write: here the loop is held up. */
    @Test
    void permissionIsCheckedWhenTheRequestIsWritten() throws Exception {
        start();
        upstream.queuesHealthChecks = true;
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "first");
            assertEquals(200, client.readStatus());
            assertEquals("OK closed", policy.nextEvent());
            FakeUpstream.ReceivedRequest check = upstream.nextRequest();
            policy.endpointId = null;
            client.send(IDEMPOTENT_REQUEST.replace("r1", "r2"));
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            long permittedNanos = TimeUnit.MILLISECONDS.toNanos(50);
            onLoop(() -> {
                long startNanos = System.nanoTime();
                policy.actions.send("2", "s1", 0, TimeUnit.NANOSECONDS.toMicros(permittedNanos));
                respondUnchecked(check);
                while (System.nanoTime() - startNanos <= permittedNanos) {
                    Thread.onSpinWait();
                }
            });
            assertEquals("NOT_SENT", policy.nextEvent());
            assertEquals(502, client.readStatus());
            policy.endpointId = "s1";
            client.send(IDEMPOTENT_REQUEST.replace("r1", "r3"));
            FakeUpstream.ReceivedRequest next = upstream.nextRequest();
            assertEquals("r3", next.header("Req-Id"));
            assertEquals(1, next.connectionNumber());
        }
    }

    private static void respondUnchecked(FakeUpstream.ReceivedRequest request) {
        try {
            request.respond(200, "", "");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Guards against a permission that covers only the first byte: the request runs with its last one. */
    @Test
    void requestThatIsNotWrittenCompletelyWithinItsPermissionIsAbandoned() throws Exception {
        try (ServerSocket hanging = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            endpointAddress = "127.0.0.1:" + hanging.getLocalPort();
            start();
            policy.permittedMicros = 300_000;
            try (Client client = new Client(listenAddress)) {
                String head = post("pay", "Idempotency-Key: k\r\nReq-Deadline-Ms: 20000\r\n", "")
                        .replace(": 0\r\n", ": 200000\r\n");
                client.send(head + "x".repeat(100_000));
                assertEquals("CONNECT_FAILED", policy.nextEvent());
                assertEquals(502, client.readStatus());
            }
        }
    }

    @Test
    void probeReturnsTheLoadReport() throws IOException, InterruptedException {
        start();
        onLoop(() -> policy.actions.probe("s1"));
        FakeUpstream.ReceivedRequest received = upstream.nextRequest();
        assertEquals("GET /-/load HTTP/1.1", received.requestLine());
        assertNull(received.header("Req-Id"));
        received.respond(200, "", "TEXT inflight=3");
        assertEquals("probed OK 3.0", policy.nextEvent());
    }
}
