package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import loadbalancer.process.BalancerFixture;
import loadbalancer.process.FakeUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses that are malformed or endless, or are followed by unexpected data. */
class ResponseReaderTest extends BalancerFixture {
    /** The request may have run, so the client gets a failure, and the connection is not reused. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\u0001\u0002 noise\r\n\r\n",
                "ICY 200 OK\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
                "HTTP/1.1 200 OK\r\n\r\nno length",
                "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nand so on",
                "HTTP/1.1 101 Switching Protocols\r\n\r\n",
            })
    void malformedResponseIsReportedAsReset(String response) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            received.write(response);
            assertEquals("RESET", policy.nextEvent());
            assertEquals(502, client.readStatus());
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "good");
            assertEquals(200, client.readStatus());
            assertEquals("good", new String(client.body, StandardCharsets.UTF_8));
        }
        assertEquals(2, upstream.connectionCount());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "X-Pad: pppppppppppppppp\r\n", "X: 1\r\n"})
    void endlessResponseHeadIsReportedAsReset(String repeatedPart) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            String statusLine = repeatedPart.startsWith("X") ? "HTTP/1.1 200 OK\r\n" : "";
            upstream.nextRequest().write(statusLine + repeatedPart.repeat(1_000));
            assertEquals("RESET", policy.nextEvent());
            assertEquals(502, client.readStatus());
        }
    }

    /** Short lines take twenty times their bytes of the heap, so their number is limited too. */
    @Test
    void responseWithTooManyHeaderLinesIsReportedAsReset() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "X: 1\r\n".repeat(99), "ok");
            assertEquals("OK closed", policy.nextEvent());
            assertEquals(200, client.readStatus());
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "X: 1\r\n".repeat(100), "ok");
            assertEquals("RESET", policy.nextEvent());
            assertEquals(502, client.readStatus());
        }
    }

    /** The data arrives in one read with the response, and must not be taken for the response to the next request. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst", "HTTP/1.1 20", "\u0007noise"})
    void dataRightAfterAResponseIsNotForwarded(String extraData) throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST + IDEMPOTENT_REQUEST.replace("r1", "r2"));
            upstream.nextRequest().write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst" + extraData);
            assertEquals(200, client.readStatus());
            assertEquals("first", new String(client.body, StandardCharsets.UTF_8));
            upstream.nextRequest().respond(200, "", "second");
            assertEquals(200, client.readStatus());
            assertEquals("second", new String(client.body, StandardCharsets.UTF_8));
        }
        assertEquals(2, upstream.connectionCount());
    }

    /** Guards against a streamed response that is cut off for what its upstream sends behind it. */
    @ParameterizedTest
    @CsvSource({"65537,false", "65537,true", "100000,false", "100000,true", "1500000,false", "1500000,true"})
    void dataRightAfterAStreamedResponseDoesNotCutItOff(int bytes, boolean chunked) throws Exception {
        start();
        String body = "x".repeat(bytes);
        String response = chunked
                ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
                : "HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n" + body;
        int requests = 0;
        for (String extraData : new String[] {response, "HTTP/1.1 20", "\u0007noise", "X: 1\r\n".repeat(2_000)}) {
            try (Client client = new Client(listenAddress)) {
                client.send(IDEMPOTENT_REQUEST);
                FakeUpstream.ReceivedRequest received = upstream.nextRequest();
                CompletableFuture.runAsync(() -> writeUnlessClosed(received, response + extraData));
                assertEquals(bytes, chunked ? readChunks(client) : readDeclared(client));
                assertEquals("OK closed", policy.nextEvent());
                requests++;
            }
        }
        assertEquals(requests, upstream.connectionCount());
    }

    private static void writeUnlessClosed(FakeUpstream.ReceivedRequest received, String text) {
        try {
            received.write(text);
        } catch (IOException e) {
            // the balancer has closed the connection behind the response
        }
    }

    private static int readDeclared(Client client) throws IOException {
        assertEquals(200, client.readStatus());
        return client.body.length;
    }

    private static int readChunks(Client client) throws IOException {
        FakeUpstream.readHead(client.in);
        return readChunkedBody(client.in).length;
    }

    @Test
    void unexpectedDataClosesAnIdleConnection() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            received.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            assertTrue(isClosedSoon(received));
        }
    }

    @Test
    void informationalResponsesAndInvalidLoadReportsAreIgnored() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest()
                    .write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                            + "HTTP/1.1 102 Processing\r\n\r\n"
                            + "HTTP/1.1 200 OK\r\nSrv-Load: TEXT inflight=NaN, eps=-1, queue=Infinity\r\n"
                            + "Content-Length: 2\r\n\r\nok");
            assertEquals("OK closed", policy.nextEvent());
            assertEquals(200, client.readStatus());
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "Srv-Load: {\"\r\n", "ok");
            assertEquals("OK closed", policy.nextEvent());
            assertEquals(200, client.readStatus());
        }
        assertEquals(1, upstream.connectionCount());
    }
}
