package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** The deadline sent with an attempt is at most the time that the client has left, however busy the event loop was. */
class RequestDeadlineTest extends BalancerFixture {
    private static final long BUSY_NANOS = 400_000_000;
    private static final int BUSY_MILLIS = 400;
    private static final int DEADLINE_MILLIS = 20_000; // as the request header says

    // Keeps the event loop busy; it reads nothing and handles no event meanwhile.
    private static void keepBusy() {
        long deadline = System.nanoTime() + BUSY_NANOS;
        while (System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
    }

    private int forwardedDeadlineMillis() throws InterruptedException {
        return Integer.parseInt(upstream.nextRequest().header("Req-Deadline-Ms"));
    }

    @Test
    void timeBeforeTheRequestIsReadCountsAgainstTheDeadline() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus();
            CountDownLatch sent = new CountDownLatch(1);
            CountDownLatch loopBlocked = new CountDownLatch(1);
            onLoop(() -> {
                loopBlocked.countDown();
                await(sent);
                keepBusy();
            });
            loopBlocked.await();
            client.send(IDEMPOTENT_REQUEST);
            sent.countDown();
            assertTrue(forwardedDeadlineMillis() <= DEADLINE_MILLIS - BUSY_MILLIS);
        }
    }

    /** The time to connect is subtracted from the deadline that is forwarded. */
    @Test
    void timeToConnectCountsAgainstTheDeadline() throws IOException, InterruptedException {
        start();
        policy.endpointId = null;
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            policy.requests.take();
            onLoop(() -> {
                policy.actions.send("1", "s1", 0);
                keepBusy(); // the connection is established meanwhile, but the loop does not notice
            });
            int forwardedMillis = forwardedDeadlineMillis();
            assertTrue(forwardedMillis <= DEADLINE_MILLIS - BUSY_MILLIS, "forwarded " + forwardedMillis);
        }
    }

    /** The time of a pipelined request runs while the request before it is served. */
    @Test
    void timeBehindAPipelinedRequestCountsAgainstTheDeadline() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST + IDEMPOTENT_REQUEST.replace("Req-Id: r1", "Req-Id: r2"));
            FakeUpstream.ReceivedRequest first = upstream.nextRequest();
            keepBusy();
            first.respond(200, "", "ok");
            assertTrue(forwardedDeadlineMillis() <= DEADLINE_MILLIS - BUSY_MILLIS);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
