package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Responses whose upstream writes them slowly. */
class SlowResponseTest extends BalancerFixture {
    private static final long POLICY_TIMEOUT_MICROS = 1_000_000;
    private static final long BEYOND_POLICY_TIMEOUT_MILLIS = 1_500;

    /**
     * Guards against a sound response that is cut off by the policy's time-out of the attempt, which is for waiting
     * work: here the head has come, and the body comes late.
     */
    @ParameterizedTest
    @CsvSource({
        "40000,Content-Length: 40000",
        "100000,Content-Length: 100000",
        "40000,Transfer-Encoding: chunked",
        "100000,Transfer-Encoding: chunked",
        "100000,Connection: close"
    })
    void aResponseWhoseBodyComesLateIsNotCutOff(int bytes, String framing) throws Exception {
        start();
        policy.timeoutMicros = POLICY_TIMEOUT_MICROS;
        boolean buffered = bytes == 40_000 && framing.startsWith("Content-Length");
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            received.write("HTTP/1.1 200 X\r\n" + framing + "\r\n\r\n");
            if (buffered) {
                assertNull(policy.events.poll(BEYOND_POLICY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            } else {
                assertEquals("OK closed", policy.nextEvent());
            }
            String head = buffered ? null : FakeUpstream.readHead(client.in); // a large one comes before its body
            String body = "x".repeat(bytes);
            received.write(framing.endsWith("chunked") ? chunk(body) + "0\r\n\r\n" : body);
            if (framing.endsWith("close")) {
                received.socket().shutdownOutput();
            }
            assertEquals(bytes, read(client, head, bytes));
        }
    }

    private static int read(Client client, String head, int bytes) throws IOException {
        if (head == null) {
            assertEquals(200, client.readStatus());
            return client.body.length;
        }
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
        return head.toLowerCase().contains("chunked")
                ? readChunkedBody(client.in).length
                : client.in.readNBytes(bytes).length;
    }

    /** The time-out still ends an attempt whose response has not begun, and one that has no successful response. */
    @ParameterizedTest
    @CsvSource({"''", "HTTP/1.1 500 X"})
    void anAttemptWithoutAResponseTimesOut(String statusLine) throws Exception {
        start();
        policy.timeoutMicros = POLICY_TIMEOUT_MICROS;
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            if (!statusLine.isEmpty()) {
                received.write(statusLine + "\r\nContent-Length: 5\r\n\r\n");
            }
            assertEquals("TIMEOUT", policy.nextEvent());
            assertEquals(502, client.readStatus());
        }
    }
}
