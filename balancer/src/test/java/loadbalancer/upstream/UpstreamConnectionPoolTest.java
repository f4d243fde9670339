package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.process.BalancerFixture;
import loadbalancer.process.FakeUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections to upstreams: idle time-outs, drains and probes. */
class UpstreamConnectionPoolTest extends BalancerFixture {
    private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();

    @Test
    void idleConnectionsAreClosedBeforeTheUpstreamWouldCloseThem() throws IOException, InterruptedException {
        start(Map.of("IdleClose", 400_000), 1024);
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest got = upstream.nextRequest();
            got.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            assertTrue(isClosedSoon(got));
        }
    }

    @Test
    @Timeout(60)
    void nothingIsSentAfterTheDrainGracePeriod() throws IOException, InterruptedException {
        start(Map.of(), 1024);
        onLoop(() -> policy.actions.fetchList());
        discovery.nextRequest().respond(200, "", "{\"rev\":50,\"all\":true,\"targets\":[]}");
        assertEquals("SNAPSHOT []", policy.nextEvent());
        // The grace period ends at last; the policy of this test goes on sending all the same.
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

    /** Connections are established only once the test accepts: the listener's backlog is full. */
    @Test
    @Timeout(60)
    void attemptThatWaitsForItsConnectionIsNotSentAfterTheDrainGracePeriod() throws IOException, InterruptedException {
        List<Socket> fillers = new ArrayList<>();
        List<Client> clients = new ArrayList<>();
        try (ServerSocket slow = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            while (fill(fillers, slow.getLocalPort())) {
                assertTrue(fillers.size() < 50, "the queue never fills");
            }
            endpointAddress = "127.0.0.1:" + slow.getLocalPort();
            start(Map.of("DialTimeout", 30_000_000), 1024);
            clients.add(new Client(listenAddress).send(IDEMPOTENT_REQUEST.replace("r1", "r0")));
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            onLoop(() -> policy.actions.fetchList());
            discovery.nextRequest().respond(200, "", "{\"rev\":50,\"all\":true,\"targets\":[]}");
            assertEquals("SNAPSHOT []", policy.nextEvent());
            String outcome = null;
            while (outcome == null) { // until new attempts show that the grace period is over
                clients.add(new Client(listenAddress).send(IDEMPOTENT_REQUEST.replace("r1", "r" + clients.size())));
                outcome = policy.events.poll(100, TimeUnit.MILLISECONDS);
            }
            assertEquals("NOT_SENT", outcome);
            acceptAll(slow);
            for (int i = 1; i < clients.size(); i++) {
                assertEquals("NOT_SENT", policy.nextEvent());
            }
            assertFillersAreAccepted(fillers.size());
            Socket taken = accepted.poll(20, TimeUnit.SECONDS);
            taken.setSoTimeout(20_000);
            assertEquals(-1, taken.getInputStream().read(), "nothing was written");
        } finally {
            for (Socket filler : fillers) {
                filler.close();
            }
            for (Client client : clients) {
                client.close();
            }
        }
    }

    private void acceptAll(ServerSocket listener) {
        Thread accepting = new Thread(() -> {
            try {
                while (true) {
                    accepted.add(listener.accept());
                }
            } catch (IOException e) {
                Thread.currentThread().interrupt();
            }
        });
        accepting.start();
    }

    private void assertFillersAreAccepted(int fillers) throws InterruptedException {
        int ports = 0;
        for (int i = 0; i < fillers; i++) {
            ports += accepted.poll(20, TimeUnit.SECONDS) == null ? 0 : 1;
        }
        assertEquals(fillers, ports);
    }

    /** Also where the policy cancels nothing, as it may not everywhere. */
    @Test
    @Timeout(60)
    void attemptThatWaitsForItsConnectionIsCancelledOnceItsClientHasLeft() throws IOException, InterruptedException {
        List<Socket> fillers = new ArrayList<>();
        policy.cancelsForGoneClients = false;
        try (ServerSocket slow = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            while (fill(fillers, slow.getLocalPort())) {
                assertTrue(fillers.size() < 50, "the queue never fills");
            }
            endpointAddress = "127.0.0.1:" + slow.getLocalPort();
            start(Map.of("DialTimeout", 30_000_000), 1024);
            try (Client client = new Client(listenAddress)) {
                client.send(IDEMPOTENT_REQUEST.replace("20000", "500000")); // its deadline is not what ends it
                assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            }
            assertEquals("client gone", policy.nextEvent());
            assertEquals("NOT_SENT closed", policy.nextEvent());
        } finally {
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /** It arrives when the next request has the connection: it must not be taken for the response to that one. */
    @Test
    void lateDuplicateResponseBelongsToNoRequest() throws IOException, InterruptedException {
        start();
        CountDownLatch answered = new CountDownLatch(1);
        CountDownLatch held = new CountDownLatch(1);
        try (Client client = new Client(listenAddress);
                Client next = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest got = upstream.nextRequest();
            policy.endpointId = null; // the next one is queued, and sent once the first is served
            next.send(IDEMPOTENT_REQUEST.replace("r1", "r2"));
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            policy.onOutcome = () -> {
                policy.onOutcome = () -> {};
                policy.actions.send("2", "s1", 0);
                answered.countDown();
                try {
                    held.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            };
            got.respond(200, "", "first");
            answered.await();
            got.respond(200, "", "second");
            held.countDown();
            assertEquals(200, client.readStatus());
            FakeUpstream.ReceivedRequest other = upstream.nextRequest();
            assertEquals("r2", other.header("Req-Id"));
            assertEquals(2, other.connectionNumber());
            other.respond(200, "", "its own");
            assertEquals(200, next.readStatus());
            assertEquals("its own", new String(next.body, StandardCharsets.UTF_8));
        }
    }

    private static boolean fill(List<Socket> fillers, int port) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 300);
            fillers.add(socket);
            return true;
        } catch (SocketTimeoutException e) {
            socket.close();
            return false;
        }
    }

    @Test
    void probeReturnsTheLoadReport() throws IOException, InterruptedException {
        start();
        onLoop(() -> policy.actions.probe("s1"));
        FakeUpstream.ReceivedRequest got = upstream.nextRequest();
        assertEquals("GET /-/load HTTP/1.1", got.requestLine());
        assertNull(got.header("Req-Id"));
        got.respond(200, "", "TEXT inflight=3");
        assertEquals("probed OK 3.0", policy.nextEvent());
    }
}
