package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The start of a process, its configuration and its stop. */
class BalancerProcessTest extends BalancerFixture {
    /**
     * The starting thread is interrupted, so start() fails and the process never gets a reference to the listener,
     * which clients can connect to nevertheless.
     */
    @Test
    void aConnectionBeforeTheStartHasReturnedIsServed() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        balancer = new BalancerProcess(
                config(1024, settings(), port), (policySettings, seed) -> policy, false, line -> {});
        CountDownLatch startHasReturned = new CountDownLatch(1);
        balancer.loop().submit(() -> startHasReturned.await(20, TimeUnit.SECONDS)); // delays the bind until then
        Thread.currentThread().interrupt();
        try {
            assertThrows(IOException.class, balancer::start);
        } finally {
            startHasReturned.countDown();
        }
        assertTrue(Thread.interrupted());
        // After the first task the listener is registered and its bind queued; after the second the bind is done.
        balancer.loop().submit(() -> {}).get(20, TimeUnit.SECONDS);
        balancer.loop().submit(() -> {}).get(20, TimeUnit.SECONDS);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        try (Client client = new Client(address)) {
            assertEquals(
                    503, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
        }
    }

    @Test
    void theWarmUpPrecedesReadinessAndReachesNeitherPolicyNorUpstream() throws IOException, InterruptedException {
        warmsUp = true;
        start();
        try (Client client = new Client(listenAddress)) {
            int status = 503;
            while (status == 503) {
                status = client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus();
            }
            assertEquals(200, status);
            assertEquals(
                    404,
                    client.send("GET /-/rehearsed HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            assertEquals(
                    404,
                    client.send(IDEMPOTENT_REQUEST.replace("/api/k1?x=%20y", "/-/rehearsal"))
                            .readStatus());
            assertTrue(policy.requests.isEmpty());
            assertEquals(0, upstream.connectionCount());
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }

    @Test
    void aGracefulShutdownAnswersOpenRequestsAndAcceptsConnectionsForAWhile() throws IOException, InterruptedException {
        start();
        Client idle = new Client(listenAddress);
        assertEquals(200, idle.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
        Client open = new Client(listenAddress).send(IDEMPOTENT_REQUEST);
        FakeUpstream.ReceivedRequest received = upstream.nextRequest();
        Thread stop = new Thread(balancer::stop);
        stop.start();
        int readyStatus = 200;
        while (readyStatus == 200) {
            try (Client late = new Client(listenAddress)) {
                readyStatus =
                        late.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus();
            }
        }
        assertEquals(503, readyStatus);
        assertNull(idle.readResponse()); // an idle connection is closed
        received.respond(200, "", "late but whole");
        String head = open.readResponse();
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
        assertTrue(head.toLowerCase().contains("connection: close"), head);
        assertNull(open.readResponse());
        stop.join();
        balancer = null;
    }

    /** Otherwise a request that becomes complete just as the process ends would be accepted and never answered. */
    @Test
    void anIncompleteRequestAtTheEndIsRejectedRatherThanDropped() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST.substring(0, 40));
            Thread stop = new Thread(balancer::stop);
            stop.start();
            String head = client.readResponse();
            assertNotNull(head, "the connection ended without a response");
            assertTrue(head.startsWith("HTTP/1.1 503"), head);
            client.send(IDEMPOTENT_REQUEST.substring(40));
            assertNull(client.readResponse());
            stop.join();
            balancer = null;
        }
        assertTrue(policy.requests.isEmpty());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{} | ROUTER_LISTEN is not set, and the configuration has no listen",
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"localhost:1\"}"
                        + " | discovery: not an IP address: 'localhost'",
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\"} | the configuration has no settings object",
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"settings\":{\"Quantum\":1}} "
                        + "| settings: ",
            })
    void anInvalidConfigurationIsAnErrorThatNamesTheField(String json, String message) throws IOException {
        try {
            BalancerConfigReader.read(Map.of("ROUTER_NAME", "n1"), com.fasterxml.jackson.jr.ob.JSON.std.mapFrom(json));
        } catch (ProcessConfigException e) {
            assertTrue(e.getMessage().startsWith(message), e.getMessage());
            return;
        }
        throw new AssertionError("the configuration was accepted");
    }
}
