package loadbalancer.process;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bodies that are too large to buffer are streamed through the balancer, in pieces that may end anywhere. */
class BodyStreamTest extends BalancerFixture {
    private static final int LARGE_BODY_BYTES = 3_000_000;

    static byte[] randomBytes(int bytes) {
        byte[] random = new byte[bytes];
        new Random(7).nextBytes(random);
        return random;
    }

    static String postHead(String framing) {
        return "POST /api/k1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\nReq-Kind: book\r\n"
                + "Req-Deadline-Ms: 20000\r\n" + framing + "\r\n\r\n";
    }

    @Test
    void aLargeResponseIsStreamedAndTheConnectionsAreKept() throws Exception {
        start();
        byte[] body = randomBytes(LARGE_BODY_BYTES);
        try (Client client = new Client(listenAddress)) {
            for (int i = 0; i < 2; i++) {
                client.send(IDEMPOTENT_REQUEST);
                FakeUpstream.ReceivedRequest received = upstream.nextRequest();
                CompletableFuture<Void> answering = CompletableFuture.runAsync(() -> {
                    try {
                        received.respond(200, "", body);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
                assertEquals(200, client.readStatus());
                assertArrayEquals(body, client.body);
                answering.get(20, TimeUnit.SECONDS);
                assertEquals("OK closed", policy.nextEvent());
            }
        }
        assertEquals(1, upstream.connectionCount());
    }

    @Test
    void aResponseThatTheClientDoesNotReadIsNotReadFromItsUpstream() throws Exception {
        start();
        byte[] piece = randomBytes(1 << 16);
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            received.write("HTTP/1.1 200 X\r\nContent-Length: " + (30 << 20) + "\r\n\r\n");
            long[] sent = new long[1];
            Thread writer = new Thread(() -> {
                try {
                    for (int i = 0; i < (30 << 20) / piece.length; i++) {
                        received.write(piece);
                        sent[0] += piece.length;
                    }
                } catch (IOException e) {
                    sent[0] = -1;
                }
            });
            writer.start();
            writer.join(1_500);
            assertTrue(writer.isAlive(), "the upstream was read to its end: " + sent[0]);
            assertEquals(200, client.readStatus());
            assertEquals(30 << 20, client.body.length);
            writer.join(20_000);
        }
    }

    @Test
    void aResponseWithoutLengthIsChunkedAndEndsWithItsConnection() throws Exception {
        start();
        byte[] body = randomBytes(200_000);
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            received.write("HTTP/1.1 200 X\r\nConnection: close\r\n\r\n");
            received.write(body);
            received.socket().shutdownOutput();
            String head = FakeUpstream.readHead(client.in);
            assertTrue(head.toLowerCase().contains("transfer-encoding: chunked"), head);
            assertArrayEquals(body, readChunkedBody(client.in));
        }
    }

    /**
     * The end of the connection can be read only after the whole body. Many clients leave one after another; none may
     * keep a share of the memory for bodies.
     */
    @Test
    void aClientGoneBeforeItsLargeBodyHasAnUpstreamIsNoticed() throws Exception {
        start();
        policy.endpointId = null; // no endpoint is free
        byte[] body = randomBytes(500_000);
        for (int i = 1; i <= 20; i++) {
            try (Client client = new Client(listenAddress)) {
                client.send(postHead("Content-Length: " + body.length));
                client.socket.getOutputStream().write(body);
                assertEquals("2 k1 -1 false", policy.requests.poll(20, TimeUnit.SECONDS));
            }
            assertEquals("client gone", policy.nextEvent());
            String requestId = String.valueOf(i);
            onLoop(() -> policy.actions.send(requestId, "s1", 0));
        }
        balancer.loop().submit(() -> {}).awaitUninterruptibly(20_000);
        assertEquals(0, upstream.connectionCount());
    }

    /** While the request waits, its body is read, at least in part; it is forwarded unchanged. */
    @ParameterizedTest
    @ValueSource(ints = {500_000, LARGE_BODY_BYTES})
    void aLargeBodyThatWaitedForItsUpstreamIsStreamed(int bytes) throws Exception {
        start();
        policy.endpointId = null;
        policy.onRequest = () -> balancer.loop().schedule(() -> policy.actions.send("1", "s1", 0), 10, MILLISECONDS);
        byte[] body = randomBytes(bytes);
        try (Client client = new Client(listenAddress)) {
            client.send(postHead("Content-Length: " + bytes));
            CompletableFuture<Void> sending = CompletableFuture.runAsync(() -> {
                try {
                    client.socket.getOutputStream().write(body);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            assertEquals("2 k1 -1 false", policy.requests.poll(20, TimeUnit.SECONDS));
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            assertArrayEquals(body, received.body());
            received.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            sending.get(20, TimeUnit.SECONDS);
        }
    }

    @Test
    void aTruncatedResponseIsTruncatedForTheClientToo() throws Exception {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            received.write("HTTP/1.1 200 X\r\nContent-Length: 500000\r\n\r\n");
            received.write(randomBytes(100_000));
            assertEquals("OK closed", policy.nextEvent());
            received.socket().close();
            FakeUpstream.readHead(client.in);
            assertTrue(client.in.readAllBytes().length < 500_000);
        }
    }

    /** The test acts as the upstream: it must receive the first bytes before the client has sent the last. */
    @Test
    void aLargeBodyIsForwardedAsItArrives() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            endpointAddress = "127.0.0.1:" + server.getLocalPort();
            for (String framing : new String[] {"Content-Length: " + LARGE_BODY_BYTES, "Transfer-Encoding: chunked"}) {
                if (balancer == null) {
                    start();
                }
                byte[] body = randomBytes(LARGE_BODY_BYTES);
                boolean chunked = framing.endsWith("chunked");
                try (Client client = new Client(listenAddress)) {
                    client.send(postHead(framing));
                    OutputStream out = client.socket.getOutputStream();
                    write(out, body, 0, LARGE_BODY_BYTES / 2, chunked);
                    try (Socket accepted = server.accept()) {
                        accepted.setSoTimeout(20_000);
                        InputStream in = new java.io.BufferedInputStream(accepted.getInputStream());
                        String head = FakeUpstream.readHead(in);
                        assertTrue(head.toLowerCase().contains(framing.toLowerCase()), head);
                        CompletableFuture<byte[]> receivedBody = CompletableFuture.supplyAsync(() -> {
                            try {
                                return chunked ? readChunkedBody(in) : in.readNBytes(LARGE_BODY_BYTES);
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        });
                        write(out, body, LARGE_BODY_BYTES / 2, LARGE_BODY_BYTES, chunked);
                        if (chunked) {
                            client.send("0\r\n\r\n");
                        }
                        assertArrayEquals(body, receivedBody.get(20, TimeUnit.SECONDS));
                        accepted.getOutputStream()
                                .write("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"
                                        .getBytes(StandardCharsets.ISO_8859_1));
                        assertEquals(200, client.readStatus());
                        assertEquals("OK closed", policy.nextEvent());
                    }
                }
            }
        }
    }

    private static void write(OutputStream out, byte[] source, int begin, int end, boolean chunked) throws IOException {
        int step = 50_021;
        for (int i = begin; i < end; i += step) {
            int bytes = Math.min(step, end - i);
            if (chunked) {
                out.write((Integer.toHexString(bytes) + ";x=y\r\n").getBytes(StandardCharsets.ISO_8859_1));
            }
            out.write(source, i, bytes);
            if (chunked) {
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            }
        }
    }

    @Test
    void aLargeBodyThatWasRejectedIsNotRetried() throws Exception {
        start();
        policy.retriesWhenFull = true;
        try (Client client = new Client(listenAddress)) {
            client.send(postHead("Content-Length: 200000"));
            client.socket.getOutputStream().write(randomBytes(200_000));
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            received.respond(503, "Srv-Declined: 1\r\n", "");
            assertEquals("FULL", policy.nextEvent());
            String second = policy.nextEvent();
            assertTrue(second.equals("NOT_SENT"), second);
            assertEquals(502, client.readStatus());
            client.send(IDEMPOTENT_REQUEST); // the connection remains usable
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            assertNull(received.header("Transfer-Encoding"));
        }
    }

    @Test
    void aTooLargeBodyIsRejectedAtItsHead() throws Exception {
        start();
        try (Client client = new Client(listenAddress)) {
            assertEquals(413, client.send(postHead("Content-Length: 60000000")).readStatus());
        }
        assertEquals(0, upstream.connectionCount());
    }

    @Test
    void anAbsoluteRequestTargetIsAccepted() throws Exception {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST.replace("GET /api", "GET http://backend.local/api"));
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            assertEquals("GET /api/k1?x=%20y HTTP/1.1", received.requestLine());
            received.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }

    /** The upstream has the whole request, so it may have run: its client must not be told to send it again. */
    @ParameterizedTest
    @ValueSource(ints = {60_000, 65_537, 65_700, 66_300, 70_000, 500_000})
    void aBodyWhoseConnectionIsResetAfterItsLastByteMayHaveRun(int bytes) throws Exception {
        start();
        byte[] body = randomBytes(bytes);
        try (Client client = new Client(listenAddress)) {
            client.send(postHead("Content-Length: " + bytes));
            client.socket.getOutputStream().write(body);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            assertArrayEquals(body, received.body());
            received.reset();
            assertEquals("RESET", policy.nextEvent());
            assertEquals(502, client.readStatus());
            client.send(postHead("Content-Length: " + bytes)); // the connection remains usable
            client.socket.getOutputStream().write(body);
            received = upstream.nextRequest();
            assertArrayEquals(body, received.body());
            received.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }

    /** A body that is the text of a request must not reach an upstream as a request of its own. */
    @Test
    void aBodyBehindALargeOneIsNotAppendedToIt() throws Exception {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(postHead("Content-Length: 66000"));
            client.socket.getOutputStream().write(randomBytes(66_000));
            FakeUpstream.ReceivedRequest first = upstream.nextRequest();
            String hidden = IDEMPOTENT_REQUEST.replace("r1", "hidden");
            client.send(post("book", "Req-Deadline-Ms: 20000\r\n", hidden).replace("Req-Id: r1", "Req-Id: r2"));
            first.respond(200, "", "first");
            assertEquals(200, client.readStatus());
            FakeUpstream.ReceivedRequest second = upstream.nextRequest();
            assertEquals("r2", second.header("Req-Id"));
            assertEquals(hidden, new String(second.body(), StandardCharsets.ISO_8859_1));
            second.respond(200, "", "second");
            assertEquals(200, client.readStatus());
        }
    }

    /** The request that has become invalid is in service: its client gets one response, and then a close. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aBodyThatBecomesInvalidGetsOneResponse(boolean inService) throws Exception {
        start();
        try (Client client = new Client(listenAddress)) {
            if (!inService) {
                client.send(IDEMPOTENT_REQUEST.replace("r1", "r0"));
            }
            client.send(postHead("Transfer-Encoding: chunked") + chunk("x".repeat(200_000)));
            assertEquals(inService ? "2 k1 -1 false" : "0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            client.send("zz\r\n");
            if (!inService) {
                for (int i = 0; i < 100; i++) { // each lets the balancer read a part of what has arrived
                    balancer.loop().submit(() -> {}).awaitUninterruptibly();
                }
                upstream.nextRequest().respond(200, "", "ok");
                assertEquals(200, client.readStatus());
            }
            assertEquals(400, client.readStatus());
            assertNull(client.readResponse(), "expected one response and then the end of the connection");
            assertTrue(policy.requests.isEmpty());
        }
    }
}
