package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.process.BalancerFixture;
import loadbalancer.process.FakeUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A new process at the address of one that has gone is another endpoint. */
class EndpointIdentityTest extends BalancerFixture {
    private static final String STARTED_ANEW = "\"boot_ms\":1700000000000";

    private void list(String json, String event) throws IOException, InterruptedException {
        onLoop(() -> policy.actions.fetchList());
        discovery.nextRequest().respond(200, "", json);
        assertEquals(event, policy.nextEvent());
    }

    private void listRestarted() throws IOException, InterruptedException {
        String restarted = endpointList(50, true, "in_service").replace("\"boot_ms\":0", STARTED_ANEW);
        list(restarted.strip(), "SNAPSHOT [s1=UP]");
    }

    /** Guards against a connection to the process before, whose peer answers or not, that is used again. */
    @Test
    void aConnectionToTheProcessBeforeIsNotUsedAgain() throws Exception {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest before = upstream.nextRequest();
            before.respond(200, "", "before");
            assertEquals(200, client.readStatus());
            assertEquals("OK closed", policy.nextEvent());
            listRestarted();
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest after = upstream.nextRequest();
            assertEquals(2, after.connectionNumber());
            after.respond(200, "", "after");
            assertEquals(200, client.readStatus());
        }
    }

    /** The same for a connection that carried a request while its endpoint restarted. */
    @Test
    void aConnectionThatWasBusyDuringTheRestartIsClosed() throws Exception {
        start();
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest before = upstream.nextRequest();
            listRestarted();
            before.respond(200, "", "before");
            assertEquals(200, client.readStatus());
            client.send(IDEMPOTENT_REQUEST);
            assertEquals(2, upstream.nextRequest().connectionNumber());
        }
    }

    /** Guards against work for the process before that goes to the new one, as it waited for its connection. */
    @Test
    @Timeout(60)
    void anAttemptThatWaitsIsNotSentToTheNewProcess() throws Exception {
        try (FullListener fullListener = new FullListener()) {
            endpointAddress = fullListener.address();
            start(Map.of("DialTimeout", 30_000_000), 1024);
            try (Client client = new Client(listenAddress)) {
                client.send(IDEMPOTENT_REQUEST.replace("20000", "500000"));
                assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
                listRestarted();
                fullListener.acceptAll();
                assertEquals("NOT_SENT", policy.nextEvent());
                assertEquals(502, client.readStatus());
            }
        }
    }

    /** The same for an attempt whose connection to the process before ends while it waits for the health check. */
    @Test
    void anAttemptThatWaitsForTheHealthCheckIsNotSentToTheNewProcess() throws Exception {
        start();
        upstream.queuesHealthChecks = true;
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "before");
            assertEquals(200, client.readStatus());
            assertEquals("OK closed", policy.nextEvent());
            FakeUpstream.ReceivedRequest check = upstream.nextRequest();
            client.send(IDEMPOTENT_REQUEST);
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            listRestarted();
            check.reset();
            assertEquals("NOT_SENT", policy.nextEvent());
            assertEquals(502, client.readStatus());
        }
    }

    /** Guards against work for an endpoint that has gone, which within its drain grace period goes to another one. */
    @Test
    void nothingIsSentToAnAddressThatAnotherEndpointHasTakenOver() throws Exception {
        start();
        list(endpointList(50, true, "in_service").replace("s1", "s2").strip(), "SNAPSHOT [s2=UP]");
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST); // the policy of this test still sends to s1
            assertEquals("NOT_SENT", policy.nextEvent());
            assertEquals(502, client.readStatus());
            policy.endpointId = "s2";
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }
}
