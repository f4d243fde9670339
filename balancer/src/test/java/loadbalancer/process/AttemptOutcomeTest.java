package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each request gets one response, and the policy receives the outcome of each attempt. */
class AttemptOutcomeTest extends BalancerFixture {
    @Test
    void aRequestAndItsResponseAreForwardedUnchanged() throws IOException, InterruptedException {
        start();
        byte[] body = new byte[64 * 1024];
        new Random(1).nextBytes(body);
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            assertEquals("GET /api/k1?x=%20y HTTP/1.1", received.requestLine());
            assertEquals("r1", received.header("Req-Id"));
            assertTrue(Integer.parseInt(received.header("Req-Deadline-Ms")) < 20_000);
            received.respond(200, "Srv-Load: TEXT eps=0.1, inflight=7\r\n", body);
            assertEquals(200, client.readStatus());
            assertArrayEquals(body, client.body);
            assertEquals("OK 7.0 closed", policy.nextEvent());
            client.send(post("pay", "Idempotency-Key: abc\r\nReq-Deadline-Ms: 20000\r\n", "hello"));
            received = upstream.nextRequest();
            assertEquals("abc", received.header("Idempotency-Key"));
            assertEquals("hello", new String(received.body(), StandardCharsets.UTF_8));
            received.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
            assertEquals(200, client.readStatus());
            assertEquals("abc", new String(client.body, StandardCharsets.UTF_8));
        }
        assertEquals(1, upstream.connectionCount()); // the connection was kept open and used again
    }

    @ParameterizedTest
    @CsvSource({
        "200,'',OK closed,200",
        "500,'',ERROR,502",
        "503,'',ERROR,502",
        "503,Srv-Declined: 1,FULL,502",
        "504,Srv-Declined: 1,FULL,502",
        "500,Srv-Declined: 1,ERROR,502",
        "429,'',ERROR,502"
    })
    void onlyADeclineProvesThatTheRequestDidNotRun(int status, String header, String outcome, int clientStatus)
            throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(status, header.isEmpty() ? "" : header + "\r\n", "");
            assertEquals(outcome, policy.nextEvent());
            assertEquals(clientStatus, client.readStatus());
        }
    }

    @Test
    void aConnectionThatEndsAfterTheRequestWasWrittenIsAReset() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().reset();
            assertEquals("RESET", policy.nextEvent());
            assertEquals(502, client.readStatus());
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest truncated = upstream.nextRequest();
            truncated.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
            truncated.socket().close();
            assertEquals("RESET", policy.nextEvent());
            assertEquals(502, client.readStatus());
        }
    }

    @Test
    void aRefusedConnectionProvesThatTheRequestDidNotRun() throws IOException, InterruptedException {
        start();
        upstream.close();
        try (Client client = new Client(listenAddress)) {
            assertEquals(502, client.send(IDEMPOTENT_REQUEST).readStatus());
            assertEquals("CONNECT_FAILED", policy.nextEvent());
        }
    }

    @Test
    void aTimeoutClosesTheConnectionAndTheRequestMayHaveRun() throws IOException, InterruptedException {
        start();
        policy.timeoutMicros = 100_000;
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            assertTrue(Integer.parseInt(received.header("Req-Deadline-Ms")) <= 100);
            assertEquals("TIMEOUT", policy.nextEvent());
            assertEquals(502, client.readStatus());
            assertTrue(received.awaitClosedByPeer());
        }
    }

    @Test
    void thePolicyIsNotifiedOfAGoneClientAndItsAttemptIsCancelled() throws IOException, InterruptedException {
        start();
        Client client = new Client(listenAddress).send(IDEMPOTENT_REQUEST);
        FakeUpstream.ReceivedRequest received = upstream.nextRequest();
        client.close();
        assertEquals("client gone", policy.nextEvent());
        assertEquals("CANCELLED closed", policy.nextEvent());
        assertTrue(received.awaitClosedByPeer());
    }

    /** Guards against a booking that runs again, as its client has left and comes again with the same id. */
    @ParameterizedTest
    @CsvSource({"false,409", "true,200"})
    void anIdThatMayHaveRunForAGoneClientIsNotSentAgain(boolean neverRan, int status) throws Exception {
        start();
        String booking = post("book", "Req-Deadline-Ms: 20000\r\n", "one seat");
        Client gone = new Client(listenAddress).send(booking);
        FakeUpstream.ReceivedRequest received = upstream.nextRequest();
        if (neverRan) {
            policy.cancelsForGoneClients = false;
        }
        gone.close();
        assertEquals("client gone", policy.nextEvent());
        if (neverRan) {
            received.respond(503, "Srv-Declined: 1\r\n", "");
        }
        assertEquals(neverRan ? "FULL closed" : "CANCELLED closed", policy.nextEvent());
        try (Client again = new Client(listenAddress).send(booking)) {
            if (neverRan) {
                upstream.nextRequest().respond(200, "", "booked");
            }
            assertEquals(status, again.readStatus());
        }
        assertTrue(upstream.isEmpty());
    }

    @Test
    void aRequestThatThePolicyNeverAnswersGetsTheLastResortResponse() throws IOException, InterruptedException {
        start();
        policy.endpointId = null;
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST.replace("20000", "150"));
            assertEquals(502, client.readStatus());
            assertEquals("client gone", policy.nextEvent());
        }
        synchronized (log) {
            assertTrue(
                    log.contains("last-resort failure responses, as the policy chose none in time: 1"), log.toString());
        }
    }

    @Test
    void anExceptionOfThePolicyDoesNotEndTheProcess() throws IOException, InterruptedException {
        start();
        policy.throwsOnRequest = true;
        try (Client client = new Client(listenAddress)) {
            assertEquals(
                    502, client.send(IDEMPOTENT_REQUEST.replace("20000", "150")).readStatus());
            assertEquals("client gone", policy.nextEvent());
            synchronized (log) {
                assertTrue(log.get(log.size() - 2).startsWith("exception 1 in a policy event: "), log.toString());
            }
            policy.throwsOnRequest = false;
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }
}
