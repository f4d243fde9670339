package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A stop answers each request exactly once: those that have arrived, and those that are still arriving. */
class GracefulShutdownTest extends BalancerFixture {
    private static final int STREAMED_BODY_BYTES = 282_624;

    private Thread stop() {
        Thread stopping = new Thread(balancer::stop);
        stopping.start();
        return stopping;
    }

    private void awaitStopped(Thread stopping) throws InterruptedException {
        stopping.join(20_000);
        assertTrue(!stopping.isAlive(), "the process has not stopped");
        balancer = null;
    }

    /** Guards against a streamed body that counts as arrived with its head, so that its client is never answered. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: " + STREAMED_BODY_BYTES, "Transfer-Encoding: chunked"})
    void aStreamedBodyThatIsArrivingAtTheStopIsRejectedAndNotRun(String framing) throws Exception {
        try (ServerSocket hanging = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            endpointAddress = "127.0.0.1:" + hanging.getLocalPort();
            start();
            boolean chunked = framing.endsWith("chunked");
            String part = "x".repeat(100_000);
            try (Client client = new Client(listenAddress)) {
                client.send(BodyStreamTest.postHead(framing) + (chunked ? chunk(part) : part));
                assertEquals("2 k1 -1 false", policy.requests.poll(20, TimeUnit.SECONDS));
                try (Socket forwarded = hanging.accept()) {
                    Thread stopping = stop();
                    assertEquals(503, client.readStatus());
                    assertEquals("client gone", policy.nextEvent());
                    InputStream received = forwarded.getInputStream();
                    FakeUpstream.readHead(received);
                    assertTrue(received.readAllBytes().length < STREAMED_BODY_BYTES, "the request is complete");
                    client.send(chunked ? "0\r\n\r\n" : "x".repeat(STREAMED_BODY_BYTES - part.length()));
                    assertNull(client.readResponse());
                    awaitStopped(stopping);
                }
            }
        }
    }

    /** Guards against a streamed body behind another request that is dropped at a stop. */
    @Test
    void aStreamedBodyBehindAnOpenRequestIsRejectedAfterItsResponse() throws Exception {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST.replace("r1", "r0"));
            FakeUpstream.ReceivedRequest first = upstream.nextRequest();
            client.send(BodyStreamTest.postHead("Content-Length: " + STREAMED_BODY_BYTES) + "x".repeat(100_000));
            Thread stopping = stop();
            awaitListenerClosed();
            first.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            assertEquals(503, client.readStatus());
            assertNull(client.readResponse());
            awaitStopped(stopping);
            assertTrue(upstream.isEmpty(), "a request that had not arrived was sent");
        }
    }

    /** Guards against complete requests that are dropped as the response before them closes their connection. */
    @Test
    void requestsThatHaveArrivedBehindAnOpenRequestAreAnswered() throws Exception {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST.replace("r1", "r0"));
            FakeUpstream.ReceivedRequest first = upstream.nextRequest();
            client.send(IDEMPOTENT_REQUEST + IDEMPOTENT_REQUEST.replace("r1", "r2"));
            balancer.loop().submit(() -> {}).get(20, TimeUnit.SECONDS);
            Thread stopping = stop();
            awaitNotReady();
            first.respond(200, "", "first");
            assertEquals(200, client.readStatus());
            answerAll();
            assertAnswered(client.readResponse());
            String head = client.readResponse();
            assertAnswered(head);
            assertTrue(head.toLowerCase().contains("connection: close"), head);
            assertNull(client.readResponse());
            awaitStopped(stopping);
        }
    }

    private void answerAll() {
        CompletableFuture.runAsync(() -> {
            try {
                while (true) {
                    upstream.nextRequest().respond(200, "", "ok");
                }
            } catch (IOException | InterruptedException e) {
                Thread.currentThread().interrupt(); // the test has ended
            }
        });
    }

    /** Served, or rejected where the process began to stop too long ago. */
    private static void assertAnswered(String head) {
        assertNotNull(head, "a request that had arrived was dropped");
        assertTrue(head.startsWith("HTTP/1.1 200") || head.startsWith("HTTP/1.1 503"), head);
    }

    private void awaitNotReady() throws Exception {
        int status = 200;
        while (status == 200) {
            try (Client client = new Client(listenAddress)) {
                status = client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus();
            }
        }
    }

    private void awaitListenerClosed() throws Exception {
        while (true) {
            try (Client client = new Client(listenAddress)) {
                client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readResponse();
            } catch (java.net.ConnectException closed) {
                return;
            } catch (IOException reset) {
                continue; // the listener was closed while this connection waited in its backlog
            }
        }
    }
}
