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

/** Faulty and hostile clients: what they get, and that they do not affect others. */
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
        start(Map.of(), 4); // a reserve of two, two for use
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest got = upstream.nextRequest();
            got.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            try (Client second = new Client(listenAddress)) {
                assertTrue(isClosedSoon(got));
                assertEquals(
                        200,
                        second.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            }
        }
    }

    /** Clients alone are too many here: no connection to an upstream is closed for them. */
    @Test
    void manyClientsCloseNoUpstreamConnection() throws IOException, InterruptedException {
        start(Map.of(), 24); // twelve for use, seven of them for clients
        List<Client> crowd = new ArrayList<>();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            for (int i = 0; i < 20; i++) { // each asks once and stays
                Client one = new Client(listenAddress);
                crowd.add(one);
                assertEquals(
                        200,
                        one.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            }
            try (Client late = new Client(listenAddress)) {
                late.send(IDEMPOTENT_REQUEST.replace("r1", "r2"));
                upstream.nextRequest().respond(200, "", "ok");
                assertEquals(200, late.readStatus());
            }
        } finally {
            for (Client one : crowd) {
                one.close();
            }
        }
        assertEquals(1, upstream.connectionCount());
    }

    /** Each could be parsed in two ways, or hides another request; none is forwarded. */
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
    void anAmbiguousRequestIsRejectedAndItsConnectionClosed(String rest) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send("POST /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: r\r\nReq-Kind: book\r\n"
                    + "Req-Deadline-Ms: 900\r\n" + rest + post("book", "Req-Deadline-Ms: 900\r\n", ""));
            int status = client.readStatus();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
            assertNull(client.readResponse(), "one answer, and the end");
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

    /** Of a huge body only the head is needed for the answer; the rest is never read. */
    @Test
    void aTooLargeBodyIsRejectedAtItsHeadAndNotReadToItsEnd() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send("POST /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: r\r\nReq-Kind: book\r\n"
                    + "Req-Deadline-Ms: 900\r\nContent-Length: 60000000\r\n\r\n");
            assertEquals(413, client.readStatus());
            byte[] some = new byte[1 << 16];
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < 1_000; i++) {
                    client.socket.getOutputStream().write(some);
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

    /** Two of one id could not be distinguished upstream: the second is rejected, the first is served. */
    @Test
    void aSecondRequestWithAnOpenIdIsRejected() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress);
                Client thief = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest got = upstream.nextRequest();
            assertEquals(409, thief.send(IDEMPOTENT_REQUEST).readStatus());
            assertNull(thief.readResponse());
            got.respond(200, "", "mine");
            assertEquals(200, client.readStatus());
            assertEquals("mine", new String(client.body, StandardCharsets.UTF_8));
            client.send(IDEMPOTENT_REQUEST); // free again
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }

    /** Nothing, half a head, half a body, and a byte now and then: each times out. */
    @ParameterizedTest
    @ValueSource(strings = {"", "GET /api/k HT", "POST /api/k HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc"})
    void anIncompleteRequestIsRejectedOrItsConnectionClosed(String part) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            String head = client.send(part).readResponse();
            if (part.isEmpty()) {
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
            StringBuilder many = new StringBuilder();
            for (int i = 0; i < 300; i++) {
                many.append(IDEMPOTENT_REQUEST.replace("r1", "m" + i));
            }
            client.send(many.toString());
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

    /** The client closes while its request waits to be read: there is no one to answer, and nothing is forwarded. */
    @Test
    void aClientGoneBeforeItsRequestIsReadIsNotServed() throws Exception {
        start();
        CountDownLatch held = new CountDownLatch(1);
        onLoop(() -> {
            try {
                held.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        new Client(listenAddress).send(IDEMPOTENT_REQUEST.replace("r1", "left")).close();
        held.countDown();
        try (Client stays = new Client(listenAddress)) {
            stays.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest got = upstream.nextRequest();
            assertEquals("r1", got.header("Req-Id"));
            got.respond(200, "", "ok");
            assertEquals(200, stays.readStatus());
        }
        assertEquals(1, policy.requests.size());
    }

    /** As many as are queued, and then the end of the connection: noticed while the first is still being served. */
    @Test
    void aClientGoneWithPipelinedRequestsIsNoticedAndNoneIsForwarded() throws IOException, InterruptedException {
        start();
        FakeUpstream.ReceivedRequest first;
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            first = upstream.nextRequest();
            StringBuilder ahead = new StringBuilder();
            for (int i = 0; i < 16; i++) {
                ahead.append(IDEMPOTENT_REQUEST.replace("r1", "a" + i));
            }
            client.send(ahead.toString());
        }
        assertEquals("client gone", policy.nextEvent());
        assertTrue(first.awaitClosedByPeer());
        assertEquals(1, policy.requests.size());
    }

    /** Hundreds of silent connections must not keep others from being served. */
    @Test
    void idleConnectionsAreClosedForNewOnes() throws IOException, InterruptedException {
        start(Map.of(), 40);
        List<Client> silent = new ArrayList<>();
        try (Client usual = new Client(listenAddress)) {
            assertEquals(
                    200, usual.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            for (int i = 0; i < 200; i++) {
                silent.add(new Client(listenAddress));
            }
            assertEquals(
                    200, usual.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            try (Client late = new Client(listenAddress)) {
                late.send(IDEMPOTENT_REQUEST);
                upstream.nextRequest().respond(200, "", "ok");
                assertEquals(200, late.readStatus());
            }
        } finally {
            for (Client client : silent) {
                client.close();
            }
        }
    }
}
