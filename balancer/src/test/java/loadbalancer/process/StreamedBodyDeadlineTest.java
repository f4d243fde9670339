package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The deadline of a request whose body is streamed. Each test also ends its balancer, which waits for open requests, so
 * none may be left without an end.
 */
class StreamedBodyDeadlineTest extends BalancerFixture {
    /** More than the balancer reads of a body that has no upstream, and more than the sockets hold of the rest. */
    private static final int UNBUFFERED_BODY_BYTES = 16_000_000;

    private static String bookWithin(int deadlineMillis, String headers) {
        return BodyStreamTest.postHead(headers).replace("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: " + deadlineMillis);
    }

    private static Thread sendInBackground(Client client, byte[] body) {
        Thread sending = new Thread(() -> {
            try {
                client.socket.getOutputStream().write(body);
            } catch (IOException e) {
                Thread.currentThread().interrupt(); // the connection is closed before the body is sent
            }
        });
        sending.setDaemon(true);
        sending.start();
        return sending;
    }

    /**
     * The upstream takes a part of the body and then nothing. The rest waits in sockets that the balancer does not
     * read, so it can't see the last byte; the request has not run.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n"})
    void aBodyThatItsUpstreamDoesNotTakeIsAnsweredInTime(String headers) throws Exception {
        byte[] body = BodyStreamTest.randomBytes(12_000_000);
        try (ServerSocket hanging = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            endpointAddress = "127.0.0.1:" + hanging.getLocalPort();
            start();
            try (Client client = new Client(listenAddress)) {
                client.send(bookWithin(700, headers + "Content-Length: " + body.length));
                Thread sending = sendInBackground(client, body);
                assertEquals("2 k1 -1 false", policy.requests.poll(20, TimeUnit.SECONDS));
                assertEquals("CONNECT_FAILED", policy.nextEvent());
                assertEquals(502, client.readStatus());
                if (headers.isEmpty()) {
                    sending.join(20_000); // the rest is read and discarded, and the connection remains usable
                    assertEquals(
                            200,
                            client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                                    .readStatus());
                }
            }
        }
    }

    /** No upstream is free, and the body is small enough to be read while it waits. */
    @Test
    void aLargeBodyWithoutAnUpstreamIsAnsweredInTime() throws Exception {
        start();
        policy.endpointId = null;
        byte[] body = BodyStreamTest.randomBytes(500_000);
        try (Client client = new Client(listenAddress)) {
            client.send(bookWithin(500, "Content-Length: " + body.length));
            sendInBackground(client, body);
            assertEquals(502, client.readStatus());
            assertEquals("client gone", policy.nextEvent());
        }
    }

    /**
     * No upstream is free, and the body is too large to be read while it waits. Guards against an attempt for a client
     * that has left: its leaving can't be seen while it is not read, so the request is rejected at once.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aBodyThatIsNotReadIsRejectedInsteadOfWaiting(boolean behindAnotherRequest) throws Exception {
        start();
        policy.endpointId = behindAnotherRequest ? "s1" : null;
        byte[] body = BodyStreamTest.randomBytes(UNBUFFERED_BODY_BYTES);
        try (Client client = new Client(listenAddress)) {
            if (behindAnotherRequest) {
                client.send(IDEMPOTENT_REQUEST.replace("r1", "r0"));
            }
            client.send(bookWithin(500_000, "Content-Length: " + body.length));
            Thread sending = sendInBackground(client, body);
            if (behindAnotherRequest) {
                FakeUpstream.ReceivedRequest first = upstream.nextRequest();
                sending.join(20_000); // the rest is read and discarded
                first.respond(200, "", "ok");
                assertEquals(200, client.readStatus());
            }
            assertEquals(503, client.readStatus());
            assertNull(client.readResponse());
        }
        policy.endpointId = "s1";
        onLoop(() -> policy.actions.send("1", "s1", 0));
        balancer.loop().submit(() -> {}).awaitUninterruptibly(20_000);
        assertTrue(upstream.isEmpty(), "a request was sent for a client that may have left");
    }

    /** The time of a request counts from its last byte, so a client that sends for longer than that is served. */
    @Test
    void aClientThatSendsForLongerThanItsDeadlineIsServed() throws Exception {
        start();
        byte[] body = BodyStreamTest.randomBytes(200_000);
        try (Client client = new Client(listenAddress)) {
            client.send(bookWithin(3_000, "Content-Length: " + body.length));
            for (int i = 0; i < 4; i++) {
                client.socket.getOutputStream().write(body, i * 40_000, 40_000);
                assertNull(policy.events.poll(900, TimeUnit.MILLISECONDS), "the request has ended");
            }
            client.socket.getOutputStream().write(body, 160_000, 40_000);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            assertArrayEquals(body, received.body());
            received.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }

    /** A large body that waits behind another request is complete before its request is served. */
    @Test
    void theDeadlineOfALargeBodyIncludesTheWaitBehindAnotherRequest() throws Exception {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST.replace("r1", "r0"));
            FakeUpstream.ReceivedRequest first = upstream.nextRequest();
            client.send(bookWithin(400, "Content-Length: 100000"));
            client.socket.getOutputStream().write(BodyStreamTest.randomBytes(100_000));
            assertNull(policy.events.poll(600, TimeUnit.MILLISECONDS));
            first.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            assertEquals(502, client.readStatus());
            assertTrue(upstream.isEmpty(), "a request was sent after its deadline");
        }
    }
}
