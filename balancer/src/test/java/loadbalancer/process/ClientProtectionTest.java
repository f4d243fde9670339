package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Invalid requests and hostile clients are rejected or closed, and do not affect other clients. */
class ClientProtectionTest extends BalancerFixture {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: read\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: read\r\nReq-Deadline-Ms: soon\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: other\r\nReq-Deadline-Ms: 900\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Kind: read\r\nReq-Deadline-Ms: 900\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nReq-Deadline-Ms: 900\r\n\r\n",
                "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: pay\r\nReq-Deadline-Ms: 900\r\n"
                        + "Content-Length: 0\r\n\r\n",
                "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nIdempotency-Key: a\r\n"
                        + "Req-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n",
                "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nReq-Deadline-Ms: 900\r\n"
                        + "Content-Length: 60000000\r\n\r\n",
                "NONSENSE\r\n\r\n",
                "GET /-/else HTTP/1.1\r\n\r\n",
            })
    void invalidInputIsRejectedAndReachesNoUpstream(String request) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            int status = client.send(request).readStatus();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
        }
        assertTrue(policy.requests.isEmpty());
        assertEquals(0, upstream.connectionCount());
    }

    @Test
    void idleConnectionsAreClosedFirstToFreeDescriptors() throws IOException, InterruptedException {
        start(Map.of(), 4); // two descriptors are reserved, two can be used
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            received.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            try (Client second = new Client(listenAddress)) {
                assertTrue(isClosedSoon(received));
                assertEquals(
                        200,
                        second.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            }
        }
    }

    /** The clients alone exceed the descriptor limit; no upstream connection is closed to make room for them. */
    @Test
    void manyClientsCloseNoUpstreamConnection() throws IOException, InterruptedException {
        start(Map.of(), 24); // twelve descriptors can be used, seven of them by clients
        List<Client> idleClients = new ArrayList<>();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            for (int i = 0; i < 20; i++) { // each sends one request and stays connected
                Client idleClient = new Client(listenAddress);
                idleClients.add(idleClient);
                assertEquals(
                        200,
                        idleClient
                                .send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                                .readStatus());
            }
            try (Client late = new Client(listenAddress)) {
                late.send(IDEMPOTENT_REQUEST.replace("r1", "r2"));
                upstream.nextRequest().respond(200, "", "ok");
                assertEquals(200, late.readStatus());
            }
        } finally {
            for (Client idleClient : idleClients) {
                idleClient.close();
            }
        }
        assertEquals(1, upstream.connectionCount());
    }

    /** Each request can be parsed in two ways or hides another request, so none is forwarded. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 44\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
                "Content-Length: 4\r\nContent-Length: 9\r\n\r\nabcd",
                "Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
                "Content-Length: 4, 4\r\n\r\nabcd",
                "Content-Length: -4\r\n\r\nabcd",
                "Content-Length: ten\r\n\r\nabcd",
                "Transfer-Encoding: gzip\r\n\r\nabcd",
                "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n",
                "Expect: miracles\r\nContent-Length: 0\r\n\r\n",
                "a line with no colon\r\nContent-Length: 0\r\n\r\n",
                "Req-Id: second\r\nContent-Length: 0\r\n\r\n",
                "Req-Deadline-Ms: 5\r\nContent-Length: 0\r\n\r\n",
            })
    void anAmbiguousRequestIsRejectedAndItsConnectionClosed(String headersAndBody)
            throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send("POST /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: r\r\nReq-Kind: book\r\n"
                    + "Req-Deadline-Ms: 900\r\n" + headersAndBody + post("book", "Req-Deadline-Ms: 900\r\n", ""));
            int status = client.readStatus();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
            assertNull(client.readResponse(), "expected one response and then the end of the connection");
        }
        assertTrue(policy.requests.isEmpty());
        assertEquals(0, upstream.connectionCount());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Req-Id: r\r\nReq-Deadline-Ms: 999999999999\r\n",
                "Req-Id: r\r\nReq-Deadline-Ms: 0\r\n",
                "Req-Id: r\r\nReq-Deadline-Ms: -5\r\n",
                "Req-Id: r s\r\nReq-Deadline-Ms: 900\r\n",
                "Req-Id: r\r\nReq-Deadline-Ms: 900\r\nContent-Length: 3\r\n",
            })
    void outOfRangeNumbersAreRejected(String headers) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send("GET /api/k HTTP/1.1\r\nHost: x\r\nReq-Kind: read\r\n" + headers + "\r\nabc");
            assertEquals(400, client.readStatus());
            assertNull(client.readResponse());
        }
        assertTrue(policy.requests.isEmpty());
    }

    /** The head is enough to reject a request with a huge body; the body is never read. */
    @Test
    void aTooLargeBodyIsRejectedAtItsHeadAndNotReadToItsEnd() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send("POST /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: r\r\nReq-Kind: book\r\n"
                    + "Req-Deadline-Ms: 900\r\nContent-Length: 60000000\r\n\r\n");
            assertEquals(413, client.readStatus());
            byte[] piece = new byte[1 << 16];
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < 1_000; i++) {
                    client.socket.getOutputStream().write(piece);
                }
            });
        }
    }

    @Test
    void anEndlessHeadIsRejected() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send("GET /api/k HTTP/1.1\r\n" + "X-Pad: pppppppppppppppppppppppp\r\n".repeat(400));
            int status = client.readStatus();
            assertTrue(status >= 400 && status < 500, "status " + status);
        }
    }

    /** Upstreams could not distinguish two open requests with one id, so the second is rejected. */
    @Test
    void aSecondRequestWithAnOpenIdIsRejected() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress);
                Client other = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            assertEquals(409, other.send(IDEMPOTENT_REQUEST).readStatus());
            assertNull(other.readResponse());
            received.respond(200, "", "first");
            assertEquals(200, client.readStatus());
            assertEquals("first", new String(client.body, StandardCharsets.UTF_8));
            client.send(IDEMPOTENT_REQUEST); // the id is free again
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }

    /** No byte at all, part of a head, or part of a body: each times out. */
    @ParameterizedTest
    @ValueSource(strings = {"", "GET /api/k HT", "POST /api/k HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc"})
    void anIncompleteRequestIsRejectedOrItsConnectionClosed(String sent) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            String head = client.send(sent).readResponse();
            if (sent.isEmpty()) {
                assertNull(head);
            } else {
                assertTrue(head.startsWith("HTTP/1.1 408"), head);
                assertNull(client.readResponse());
            }
        }
    }

    @Test
    void aFewPipelinedRequestsAreServedInOrderAndHundredsAreNot() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST + IDEMPOTENT_REQUEST.replace("r1", "r2") + "NONSENSE\r\n\r\n");
            upstream.nextRequest().respond(200, "", "one");
            assertEquals(200, client.readStatus());
            assertEquals("one", new String(client.body, StandardCharsets.UTF_8));
            upstream.nextRequest().respond(200, "", "two");
            assertEquals(200, client.readStatus());
            assertEquals(400, client.readStatus());
            assertNull(client.readResponse());
        }
        try (Client client = new Client(listenAddress)) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < 300; i++) {
                requests.append(IDEMPOTENT_REQUEST.replace("r1", "m" + i));
            }
            client.send(requests.toString());
            int served = 0;
            int status = 200;
            while (status == 200) {
                upstream.nextRequest().respond(200, "", "ok");
                status = client.readStatus();
                served += status == 200 ? 1 : 0;
                if (served >= 17) {
                    status = client.readStatus();
                }
            }
            assertEquals(400, status);
            assertTrue(served <= 17, "served " + served);
        }
    }

    /** The client closes its connection before the balancer reads its request, so the request is not forwarded. */
    @Test
    void aClientGoneBeforeItsRequestIsReadIsNotServed() throws Exception {
        start();
        CountDownLatch releaseLoop = new CountDownLatch(1);
        onLoop(() -> {
            try {
                releaseLoop.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        new Client(listenAddress).send(IDEMPOTENT_REQUEST.replace("r1", "left")).close();
        releaseLoop.countDown();
        try (Client remaining = new Client(listenAddress)) {
            remaining.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            assertEquals("r1", received.header("Req-Id"));
            received.respond(200, "", "ok");
            assertEquals(200, remaining.readStatus());
        }
        assertEquals(1, policy.requests.size());
    }

    /**
     * The client pipelines as many requests as are queued and closes its connection, which is noticed while the first
     * request is still being served.
     */
    @Test
    void aClientGoneWithPipelinedRequestsIsNoticedAndNoneIsForwarded() throws IOException, InterruptedException {
        start();
        FakeUpstream.ReceivedRequest first;
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            first = upstream.nextRequest();
            StringBuilder pipelined = new StringBuilder();
            for (int i = 0; i < 16; i++) {
                pipelined.append(IDEMPOTENT_REQUEST.replace("r1", "a" + i));
            }
            client.send(pipelined.toString());
        }
        assertEquals("client gone", policy.nextEvent());
        assertTrue(first.awaitClosedByPeer());
        assertEquals(1, policy.requests.size());
    }

    /** Hundreds of connections without a request must not keep other clients from being served. */
    @Test
    void idleConnectionsAreClosedForNewOnes() throws IOException, InterruptedException {
        start(Map.of(), 40);
        List<Client> idleClients = new ArrayList<>();
        try (Client active = new Client(listenAddress)) {
            assertEquals(
                    200, active.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            for (int i = 0; i < 200; i++) {
                idleClients.add(new Client(listenAddress));
            }
            assertEquals(
                    200, active.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            try (Client late = new Client(listenAddress)) {
                late.send(IDEMPOTENT_REQUEST);
                upstream.nextRequest().respond(200, "", "ok");
                assertEquals(200, late.readStatus());
            }
        } finally {
            for (Client client : idleClients) {
                client.close();
            }
        }
    }

    /** Short lines take twenty times their bytes of the heap, so their number is limited too. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Transfer-Encoding: chunked\r\n\r\n0\r\n"})
    void tooManyHeaderOrTrailerLinesAreRejected(String linesAndBody) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send("POST /api/k HTTP/1.1\r\nHost: x\r\n" + linesAndBody + "X: 1\r\n".repeat(101));
            int status = client.readStatus();
            assertTrue(status == 431 || status == 400, "status " + status);
            assertNull(client.readResponse());
        }
    }

    /** The heads of many clients together are limited; an ordinary head has its place all the same. */
    @Test
    void headsOfManyClientsTogetherAreLimited() throws IOException, InterruptedException {
        start();
        String largeHead = "GET /api/k HTTP/1.1\r\n" + ("X: " + "y".repeat(70) + "\r\n").repeat(99);
        List<Client> clients = new ArrayList<>();
        try (Client ordinary = new Client(listenAddress)) {
            for (int i = 0; i < 300; i++) {
                clients.add(new Client(listenAddress).send(largeHead));
            }
            ordinary.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, ordinary.readStatus());
            int rejected = 0;
            for (Client client : clients) {
                String head = client.readResponse(); // or a timeout, or the close that makes room for new connections
                rejected += head != null && head.startsWith("HTTP/1.1 503") ? 1 : 0;
            }
            assertTrue(rejected > 0, "300 heads of 22 KB of heap were accepted");
            assertTrue(rejected < 300, "no head was accepted");
            assertEquals(400, new Client(listenAddress).send(largeHead + "\r\n").readStatus()); // it has no Req-Id
        } finally {
            for (Client client : clients) {
                client.close();
            }
        }
    }
}
