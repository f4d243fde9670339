package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fetching and watching the endpoint list. */
class DiscoveryClientTest extends BalancerFixture {
    @Test
    void thePolicyWatchesTheListAndSplitLinesAreRead() throws IOException, InterruptedException {
        start();
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        assertEquals("GET /api/targets?watch=1&from=41 HTTP/1.1", watch.requestLine());
        String first = endpointList(43, true, "in_service");
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.write(chunk(first.substring(0, 30)));
        watch.write(chunk(first.substring(30)));
        assertEquals("SNAPSHOT [s1=UP]", policy.nextEvent());
        watch.write(chunk("\n")); // nothing has changed
        watch.write(chunk(endpointList(44, false, "terminating")));
        assertEquals("DELTA [s1=DRAINING]", policy.nextEvent());
        watch.write(chunk("{not json\n"));
        assertEquals("UNAVAILABLE []", policy.nextEvent());
        onLoop(() -> policy.actions.watch(true));
        assertEquals(
                "GET /api/targets?watch=1&from=44 HTTP/1.1",
                discovery.nextRequest().requestLine());
        onLoop(() -> policy.actions.fetchList());
        FakeUpstream.ReceivedRequest fetch = discovery.nextRequest();
        assertEquals("GET /api/targets HTTP/1.1", fetch.requestLine());
        fetch.respond(200, "", endpointList(45, true, "in_service").strip());
        assertEquals("SNAPSHOT [s1=UP]", policy.nextEvent());
        onLoop(() -> policy.actions.fetchList());
        discovery.nextRequest().respond(503, "", "");
        assertEquals("UNAVAILABLE []", policy.nextEvent());
    }

    private static final String WATCH_RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** A list may be indented, span many lines and be split into chunks anywhere. */
    @Test
    void aListIsReadWhereverItsLinesAndChunksEnd() throws IOException, InterruptedException {
        start();
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        watch.write(WATCH_RESPONSE_HEAD);
        String indented =
                endpointList(43, true, "in_service").replace(",", ",\n\n  ").replace("{", "{\r\n    ");
        for (int i = 0; i < indented.length(); i += 7) {
            watch.write(chunk(indented.substring(i, Math.min(indented.length(), i + 7))));
        }
        assertEquals("SNAPSHOT [s1=UP]", policy.nextEvent());
        watch.write(
                chunk("\n" + endpointList(44, false, "terminating") + "\n" + endpointList(45, false, "in_service")));
        assertEquals("DELTA [s1=DRAINING]", policy.nextEvent());
        assertEquals("DELTA [s1=UP]", policy.nextEvent());
        onLoop(() -> policy.actions.fetchList());
        String half = indented.substring(0, indented.length() / 2);
        discovery.nextRequest().respond(200, "", half);
        assertEquals("UNAVAILABLE []", policy.nextEvent());
    }

    /** Empty lines that follow half a list must not count as heartbeats. */
    @Test
    @Timeout(60)
    void aTruncatedListTimesOutThoughItsWatchGoesOn() throws IOException, InterruptedException {
        start();
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        watch.write(WATCH_RESPONSE_HEAD + chunk("{\"rev\":43,\n"));
        String event = null;
        while (event == null) {
            try {
                watch.write(chunk("\n"));
            } catch (IOException e) {
                event = policy.nextEvent(); // the balancer has closed the watch
            }
            event = event != null ? event : policy.events.poll(100, TimeUnit.MILLISECONDS);
        }
        assertEquals("UNAVAILABLE []", event);
    }

    /**
     * The balancer counts as notified of a drain 6 s after it, even if a silent watch missed it, and the drain grace
     * period of 1 s begins. The new watch must be opened early enough before its end for a failed call to be retried. A
     * timer of the event loop tells which came first.
     */
    @Test
    @Timeout(60)
    void aSilentWatchIsReopenedBeforeWhatItMissesApplies() throws IOException, InterruptedException {
        start();
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        watch.write(WATCH_RESPONSE_HEAD + chunk("\n"));
        assertEquals("DELTA []", policy.nextEvent());
        balancer.loop()
                .schedule(
                        () -> policy.events.add("2.5 s before the drain grace period ends"),
                        6_000 + 1_000 - 2_500,
                        TimeUnit.MILLISECONDS);
        assertEquals("UNAVAILABLE []", policy.nextEvent());
        assertEquals("2.5 s before the drain grace period ends", policy.nextEvent());
    }

    /**
     * Where lists are pushed, a process uses no list before its agent's. A drain in that list gets no grace period, as
     * it may have been notified long before.
     */
    @Test
    @Timeout(60)
    void wherePushedAStartWaitsForTheAgentAndItsDrainsGetNoGracePeriod() throws IOException, InterruptedException {
        start(Map.of(), 1024, "push");
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        assertEquals("GET /api/targets?watch=1&from=41 HTTP/1.1", watch.requestLine());
        try (Client client = new Client(listenAddress)) {
            assertEquals(
                    503, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            client.send(IDEMPOTENT_REQUEST); // the policy of this test sends it in any case
            assertEquals("NOT_SENT", policy.nextEvent());
            assertEquals(502, client.readStatus());
            watch.write(WATCH_RESPONSE_HEAD + chunk(endpointList(42, false, "terminating")));
            assertEquals("SNAPSHOT [s1=DRAINING]", policy.nextEvent());
            client.send(IDEMPOTENT_REQUEST);
            assertEquals("NOT_SENT", policy.nextEvent());
            assertEquals(502, client.readStatus());
            assertEquals(
                    503, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            watch.write(chunk(endpointList(43, false, "in_service")));
            assertEquals("DELTA [s1=UP]", policy.nextEvent());
            assertEquals(
                    200, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
        }
        assertEquals(0, upstream.connectionCount());
        watch.reset();
        assertEquals(
                "GET /api/targets?watch=1&from=43 HTTP/1.1",
                discovery.nextRequest().requestLine());
    }

    /** An empty line means that the agent has no newer list than the cached one, so the process can be ready. */
    @Test
    @Timeout(60)
    void wherePushedAHeartbeatIsEnoughForAStart() throws IOException, InterruptedException {
        start(Map.of(), 1024, "push");
        discovery.nextRequest().write(WATCH_RESPONSE_HEAD + chunk("\n"));
        assertEquals("SNAPSHOT [s1=UP]", policy.nextEvent());
        try (Client client = new Client(listenAddress)) {
            assertEquals(
                    200, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
        }
    }

    /**
     * Discovery is down at the start. The process becomes ready well before it has to be, as a timer of the event loop
     * shows, but sends nothing by a list that is older than its agent's.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    @Timeout(60)
    void wherePushedAStartWithoutDiscoveryIsReadyAndSendsNothingByTheCachedList(boolean connectionRefused)
            throws IOException, InterruptedException {
        if (connectionRefused) {
            discovery.close();
        }
        start(Map.of(), 1024, "push");
        balancer.loop()
                .schedule(
                        () -> policy.events.add(
                                String.valueOf(balancer.operatorActions().notReadyReason())),
                        3_500,
                        TimeUnit.MILLISECONDS);
        assertEquals("null", policy.nextEvent()); // and no list before it
        try (Client client = new Client(listenAddress)) {
            assertEquals(
                    200, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            client.send(IDEMPOTENT_REQUEST); // the policy of this test sends it in any case
            assertEquals("NOT_SENT", policy.nextEvent());
            assertEquals(502, client.readStatus());
        }
        if (!connectionRefused) {
            String event = null;
            while (event == null) { // a call that hangs is replaced by another
                try {
                    discovery.nextRequest().write(WATCH_RESPONSE_HEAD + chunk(endpointList(42, false, "terminating")));
                    event = policy.events.poll(1, TimeUnit.SECONDS);
                } catch (IOException e) {
                    event = null;
                }
            }
            assertEquals("SNAPSHOT [s1=DRAINING]", event);
        }
        assertEquals(0, upstream.connectionCount());
    }

    /**
     * A list counts as a response just as an empty line does, so the watch may then be silent until the next heartbeat.
     */
    @Test
    @Timeout(60)
    void aWatchThatBeganWithAListIsNotReopenedBeforeTheNextHeartbeat() throws IOException, InterruptedException {
        Map<String, Object> settings = settings();
        // A call to discovery must be answered within half of the site's drain grace period.
        settings.put("MembershipMode", "push");
        balancer =
                new BalancerProcess(config(1024, settings, 0), (policySettings, seed) -> policy, warmsUp, line -> {});
        balancer.start();
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        long before = System.nanoTime();
        watch.write(WATCH_RESPONSE_HEAD + chunk(endpointList(42, true, "in_service")));
        String line = discovery.nextRequest().requestLine(); // nothing more is sent, so the watch times out
        long silentMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before);
        assertEquals("GET /api/targets?watch=1&from=42 HTTP/1.1", line);
        assertTrue(silentMillis >= 2_900, "reopened after " + silentMillis + " ms, while a line comes every 2 s");
    }

    /** Guards against a new discovery at the same address that numbers its versions anew and is asked for changes. */
    @Test
    void aDiscoveryWhoseVersionsGoBackIsAskedForTheCompleteList() throws Exception {
        start();
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        assertEquals("GET /api/targets?watch=1&from=41 HTTP/1.1", watch.requestLine());
        watch.write(WATCH_RESPONSE_HEAD + chunk(endpointList(5, false, "terminating")));
        assertEquals("UNAVAILABLE []", policy.nextEvent());
        onLoop(() -> policy.actions.watch(true));
        assertEquals(
                "GET /api/targets?watch=1&from=0 HTTP/1.1",
                discovery.nextRequest().requestLine());
    }

    /** A new address of discovery is watched at once, and the end of the old watch does not count as a failure. */
    @Test
    void aNewDiscoveryAddressMovesTheWatchAndKeepsTheListAndTheRequests() throws IOException, InterruptedException {
        start();
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest oldWatch = discovery.nextRequest();
        oldWatch.write(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(endpointList(42, true, "in_service")));
        assertEquals("SNAPSHOT [s1=UP]", policy.nextEvent());
        try (FakeUpstream second = new FakeUpstream();
                FakeUpstream third = new FakeUpstream();
                Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            balancer.reload(() -> {
                throw new ProcessConfigException("invalid");
            });
            balancer.reload(() -> config(second.address()));
            balancer.reload(() -> config(second.address())); // the same address again changes nothing
            assertTrue(oldWatch.awaitClosedByPeer());
            FakeUpstream.ReceivedRequest watch = second.nextRequest();
            assertEquals("GET /api/targets?watch=1&from=0 HTTP/1.1", watch.requestLine());
            received.respond(200, "", "ok");
            assertEquals("OK closed", policy.nextEvent()); // and no UNAVAILABLE before it
            assertEquals(200, client.readStatus());
            client.send(IDEMPOTENT_REQUEST); // sent by the old list meanwhile
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            assertEquals("OK closed", policy.nextEvent());
            watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + chunk(endpointList(7, true, "terminating")));
            assertEquals("SNAPSHOT [s1=DRAINING]", policy.nextEvent());
            balancer.reload(() -> config(third.address()));
            assertTrue(watch.awaitClosedByPeer());
            third.nextRequest().socket().close();
            assertEquals("UNAVAILABLE []", policy.nextEvent()); // the end of the new watch counts as a failure
            assertTrue(second.isEmpty());
        }
        synchronized (log) {
            assertEquals("configuration rejected: invalid", log.get(0));
            assertTrue(log.get(1).startsWith("configuration reloaded: discovery at 127."), log.toString());
        }
    }

    private BalancerConfig config(String discoveryAddress) {
        try {
            return config(1024, settings(), 0, discoveryAddress);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
