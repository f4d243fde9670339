package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** The deadline that an attempt passes on is at most what the client has left, however busy the event loop was. */
class RequestDeadlineTest extends BalancerFixture {
    private static final long BUSY_NS = 400_000_000;
    private static final int BUSY_MS = 400;
    private static final int TIME_MS = 20_000; // as the request says

    // What the loop does when it is busy: nothing is read and nothing noticed meanwhile.
    private static void busy() {
        long until = System.nanoTime() + BUSY_NS;
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }

    private int told() throws InterruptedException {
        return Integer.parseInt(upstream.nextRequest().header("Req-Deadline-Ms"));
    }

    @Test
    void timeUnreadCountsAgainstTheDeadline() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus();
            CountDownLatch sent = new CountDownLatch(1);
            CountDownLatch held = new CountDownLatch(1);
            onLoop(() -> {
                held.countDown();
                await(sent);
                busy();
            });
            held.await();
            client.send(IDEMPOTENT_REQUEST);
            sent.countDown();
            assertTrue(told() <= TIME_MS - BUSY_MS);
        }
    }

    /** The time to connect is the client's: it is taken from the deadline that is passed on. */
    @Test
    void timeToConnectCountsAgainstTheDeadline() throws IOException, InterruptedException {
        start();
        policy.endpointId = null;
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            policy.requests.take();
            onLoop(() -> {
                policy.actions.send("1", "s1", 0);
                busy(); // the connection is up meanwhile, and nobody looks
            });
            int told = told();
            assertTrue(told <= TIME_MS - BUSY_MS, "told " + told);
        }
    }

    /** Pipelined: its time runs while the request before it is answered. */
    @Test
    void timeBehindAPipelinedRequestCountsAgainstTheDeadline() throws IOException, InterruptedException {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST + IDEMPOTENT_REQUEST.replace("Req-Id: r1", "Req-Id: r2"));
            FakeUpstream.ReceivedRequest first = upstream.nextRequest();
            busy();
            first.respond(200, "", "ok");
            assertTrue(told() <= TIME_MS - BUSY_MS);
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
