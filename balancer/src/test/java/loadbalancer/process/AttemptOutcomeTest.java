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

/** One response to each request, and the outcome of each attempt as the policy gets it. */
class AttemptOutcomeTest extends BalancerFixture {
    @Test
    void aRequestAndItsResponseAreForwardedUnchanged() throws IOException, InterruptedException {
        start();
        byte[] big = new byte[64 * 1024];
        new Random(1).nextBytes(big);
        try (Client client = new Client(at)) {
            client.send(IDEMPOTENT);
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            FakeUpstream.ReceivedRequest got = upstream.next();
            assertEquals("GET /api/k1?x=%20y HTTP/1.1", got.line());
            assertEquals("r1", got.header("Req-Id"));
            assertTrue(Integer.parseInt(got.header("Req-Deadline-Ms")) < 20_000);
            got.answer(200, "Srv-Load: TEXT eps=0.1, inflight=7\r\n", big);
            assertEquals(200, client.status());
            assertArrayEquals(big, client.body);
            assertEquals("OK 7.0 closed", policy.next());
            client.send(post("pay", "Idempotency-Key: abc\r\nReq-Deadline-Ms: 20000\r\n", "hello"));
            got = upstream.next();
            assertEquals("abc", got.header("Idempotency-Key"));
            assertEquals("hello", new String(got.body(), StandardCharsets.UTF_8));
            got.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
            assertEquals(200, client.status());
            assertEquals("abc", new String(client.body, StandardCharsets.UTF_8));
        }
        assertEquals(1, upstream.connections()); // kept and used again
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
    void onlyADeclineProvesThatTheRequestDidNotRun(int status, String header, String told, int passed)
            throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            client.send(IDEMPOTENT);
            upstream.next().answer(status, header.isEmpty() ? "" : header + "\r\n", "");
            assertEquals(told, policy.next());
            assertEquals(passed, client.status());
        }
    }

    @Test
    void aConnectionThatEndsAfterTheRequestWasWrittenIsAReset() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(at)) {
            client.send(IDEMPOTENT);
            upstream.next().reset();
            assertEquals("RESET", policy.next());
            assertEquals(502, client.status());
            client.send(IDEMPOTENT);
            FakeUpstream.ReceivedRequest half = upstream.next();
            half.raw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
            half.socket().close();
            assertEquals("RESET", policy.next());
            assertEquals(502, client.status());
        }
    }

    @Test
    void aRefusedConnectionProvesThatTheRequestDidNotRun() throws IOException, InterruptedException {
        start();
        upstream.close();
        try (Client client = new Client(at)) {
            assertEquals(502, client.send(IDEMPOTENT).status());
            assertEquals("CONNECT_FAILED", policy.next());
        }
    }

    @Test
    void aTimeoutClosesTheConnectionAndTheRequestMayHaveRun() throws IOException, InterruptedException {
        start();
        policy.timeoutMicros = 100_000;
        try (Client client = new Client(at)) {
            client.send(IDEMPOTENT);
            FakeUpstream.ReceivedRequest got = upstream.next();
            assertTrue(Integer.parseInt(got.header("Req-Deadline-Ms")) <= 100);
            assertEquals("TIMEOUT", policy.next());
            assertEquals(502, client.status());
            assertTrue(got.closedByPeer());
        }
    }

    @Test
    void aGoneClientIsNotifiedToThePolicyAndItsAttemptCancelled() throws IOException, InterruptedException {
        start();
        Client client = new Client(at).send(IDEMPOTENT);
        FakeUpstream.ReceivedRequest got = upstream.next();
        client.close();
        assertEquals("gone", policy.next());
        assertEquals("CANCELLED closed", policy.next());
        assertTrue(got.closedByPeer());
    }

    @Test
    void aRequestThatThePolicyNeverAnswersGetsTheLastResortResponse() throws IOException, InterruptedException {
        start();
        policy.endpointId = null;
        try (Client client = new Client(at)) {
            client.send(IDEMPOTENT.replace("20000", "150"));
            assertEquals(502, client.status());
            assertEquals("gone", policy.next());
        }
        synchronized (log) {
            assertTrue(
                    log.contains("last-resort failure responses, as the policy chose none in time: 1"),
                    log.toString());
        }
    }

    @Test
    void anExceptionOfThePolicyDoesNotEndTheProcess() throws IOException, InterruptedException {
        start();
        policy.throwsOnRequest = true;
        try (Client client = new Client(at)) {
            assertEquals(502, client.send(IDEMPOTENT.replace("20000", "150")).status());
            assertEquals("gone", policy.next());
            synchronized (log) {
                assertTrue(
                        log.get(log.size() - 2).startsWith("exception 1 in a policy event: "), log.toString());
            }
            policy.throwsOnRequest = false;
            client.send(IDEMPOTENT);
            upstream.next().answer(200, "", "ok");
            assertEquals(200, client.status());
        }
    }
}
