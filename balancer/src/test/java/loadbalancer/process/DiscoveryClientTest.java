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

/** How the list is asked for and watched. */
class DiscoveryClientTest extends BalancerFixture {
    @Test
    void theListIsWatchedAsThePolicyCallsForAndSplitLinesAreRead() throws IOException, InterruptedException {
        start();
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        assertEquals("GET /api/targets?watch=1&from=41 HTTP/1.1", watch.requestLine());
        String first = list(43, true, "in_service");
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.write(chunk(first.substring(0, 30)));
        watch.write(chunk(first.substring(30)));
        assertEquals("SNAPSHOT [s1=UP]", policy.nextEvent());
        watch.write(chunk("\n")); // nothing has changed
        watch.write(chunk(list(44, false, "terminating")));
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
        fetch.respond(200, "", list(45, true, "in_service").strip());
        assertEquals("SNAPSHOT [s1=UP]", policy.nextEvent());
        onLoop(() -> policy.actions.fetchList());
        discovery.nextRequest().respond(503, "", "");
        assertEquals("UNAVAILABLE []", policy.nextEvent());
    }

    private static final String OPEN = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** A list may come indented, over many lines, cut anywhere. */
    @Test
    void aListIsReadWhereverItsLinesAndChunksEnd() throws IOException, InterruptedException {
        start();
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        watch.write(OPEN);
        String indented = list(43, true, "in_service").replace(",", ",\n\n  ").replace("{", "{\r\n    ");
        for (int i = 0; i < indented.length(); i += 7) {
            watch.write(chunk(indented.substring(i, Math.min(indented.length(), i + 7))));
        }
        assertEquals("SNAPSHOT [s1=UP]", policy.nextEvent());
        watch.write(chunk("\n" + list(44, false, "terminating") + "\n" + list(45, false, "in_service")));
        assertEquals("DELTA [s1=DRAINING]", policy.nextEvent());
        assertEquals("DELTA [s1=UP]", policy.nextEvent());
        onLoop(() -> policy.actions.fetchList());
        String half = indented.substring(0, indented.length() / 2);
        discovery.nextRequest().respond(200, "", half);
        assertEquals("UNAVAILABLE []", policy.nextEvent());
    }

    /** Empty lines go on behind half a list: they must not make it look alive. */
    @Test
    @Timeout(60)
    void aTruncatedListTimesOutThoughItsWatchGoesOn() throws IOException, InterruptedException {
        start();
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        watch.write(OPEN + chunk("{\"rev\":43,\n"));
        String told = null;
        while (told == null) {
            try {
                watch.write(chunk("\n"));
            } catch (IOException e) {
                told = policy.nextEvent(); // the balancer has closed it
            }
            told = told != null ? told : policy.events.poll(100, TimeUnit.MILLISECONDS);
        }
        assertEquals("UNAVAILABLE []", told);
    }

    /**
     * What a silent watch misses counts as told after 6 s, and the grace begins. The loop's own timers say what was
     * first: the new watch, with the time for a failed try left, or the end of that.
     */
    @Test
    @Timeout(60)
    void aSilentWatchIsReopenedBeforeWhatItMissesApplies() throws IOException, InterruptedException {
        start();
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        watch.write(OPEN + chunk("\n"));
        assertEquals("DELTA []", policy.nextEvent());
        balancer.loop()
                .schedule(
                        () -> policy.events.add("two failed calls of 2 s later"),
                        6_000 + 1_000 - 2_500,
                        TimeUnit.MILLISECONDS);
        assertEquals("UNAVAILABLE []", policy.nextEvent());
        assertEquals("two failed calls of 2 s later", policy.nextEvent());
    }

    /** Where lists are pushed a process goes by what its agent has, and of drains told before no grace is left. */
    @Test
    @Timeout(60)
    void wherePushedAStartAwaitsTheAgentAndItsDrainsGetNoGracePeriod() throws IOException, InterruptedException {
        start(Map.of(), 1024, "push");
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        assertEquals("GET /api/targets?watch=1&from=41 HTTP/1.1", watch.requestLine());
        try (Client client = new Client(listenAddress)) {
            assertEquals(
                    503, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            client.send(IDEMPOTENT_REQUEST); // the policy of this test sends it all the same
            assertEquals("NOT_SENT", policy.nextEvent());
            assertEquals(502, client.readStatus());
            watch.write(OPEN + chunk(list(42, false, "terminating")));
            assertEquals("SNAPSHOT [s1=DRAINING]", policy.nextEvent());
            client.send(IDEMPOTENT_REQUEST);
            assertEquals("NOT_SENT", policy.nextEvent());
            assertEquals(502, client.readStatus());
            assertEquals(
                    503, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            watch.write(chunk(list(43, false, "in_service")));
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

    /** The agent has nothing newer than what was known: an empty line says so, and is enough. */
    @Test
    @Timeout(60)
    void wherePushedAHeartbeatIsEnoughForAStart() throws IOException, InterruptedException {
        start(Map.of(), 1024, "push");
        discovery.nextRequest().write(OPEN + chunk("\n"));
        assertEquals("SNAPSHOT [s1=UP]", policy.nextEvent());
        try (Client client = new Client(listenAddress)) {
            assertEquals(
                    200, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
        }
    }

    /**
     * Discovery is down at a start: the process is ready well before the terms want it, by the loop's own timers.
     * It goes by nothing older than what its agent has, though.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    @Timeout(60)
    void wherePushedAStartWithoutDiscoveryIsReadyAndSendsNothingByTheCachedList(boolean refused)
            throws IOException, InterruptedException {
        if (refused) {
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
            client.send(IDEMPOTENT_REQUEST); // the policy of this test sends it all the same
            assertEquals("NOT_SENT", policy.nextEvent());
            assertEquals(502, client.readStatus());
        }
        if (!refused) {
            String told = null;
            while (told == null) { // a call that hangs is given up for another
                try {
                    discovery.nextRequest().write(OPEN + chunk(list(42, false, "terminating")));
                    told = policy.events.poll(1, TimeUnit.SECONDS);
                } catch (IOException e) {
                    told = null;
                }
            }
            assertEquals("SNAPSHOT [s1=DRAINING]", told);
        }
        assertEquals(0, upstream.connectionCount());
    }

    /** A list is an answer as good as an empty line: from there on a watch may say nothing for as long as any other. */
    @Test
    @Timeout(60)
    void aWatchThatBeganWithAListIsNotReopenedBeforeTheNextHeartbeat() throws IOException, InterruptedException {
        Map<String, Object> settings = settings();
        settings.put("MembershipMode", "push"); // and the grace of the site: a call must be answered in half of it
        balancer = new BalancerProcess(config(1024, settings, 0), (s, seed) -> policy, warmsUp, line -> {});
        balancer.start();
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        long before = System.nanoTime();
        watch.write(OPEN + chunk(list(42, true, "in_service")));
        String line = discovery.nextRequest().requestLine(); // nothing more is said: it is broken in the end
        long silent = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before);
        assertEquals("GET /api/targets?watch=1&from=42 HTTP/1.1", line);
        assertTrue(silent >= 2_900, "opened anew after " + silent + " ms, while a line comes every 2 s");
    }

    /** A new configuration names another discovery: watched at once, and the old one's end is no failure. */
    @Test
    void aNewDiscoveryAddressMovesTheWatchAndKeepsTheListAndTheRequests() throws IOException, InterruptedException {
        start();
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest old = discovery.nextRequest();
        old.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list(42, true, "in_service")));
        assertEquals("SNAPSHOT [s1=UP]", policy.nextEvent());
        try (FakeUpstream second = new FakeUpstream();
                FakeUpstream third = new FakeUpstream();
                Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest held = upstream.nextRequest();
            balancer.reload(() -> {
                throw new ProcessConfigException("no good");
            });
            balancer.reload(() -> config(second.address()));
            balancer.reload(() -> config(second.address())); // said twice, moved once
            assertTrue(old.awaitClosedByPeer());
            FakeUpstream.ReceivedRequest watch = second.nextRequest();
            assertEquals("GET /api/targets?watch=1&from=0 HTTP/1.1", watch.requestLine());
            held.respond(200, "", "ok");
            assertEquals("OK closed", policy.nextEvent()); // and no FAILED before it
            assertEquals(200, client.readStatus());
            client.send(IDEMPOTENT_REQUEST); // by the old list, meanwhile
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            assertEquals("OK closed", policy.nextEvent());
            watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list(7, true, "terminating")));
            assertEquals("SNAPSHOT [s1=DRAINING]", policy.nextEvent());
            balancer.reload(() -> config(third.address()));
            assertTrue(watch.awaitClosedByPeer());
            third.nextRequest().socket().close();
            assertEquals("UNAVAILABLE []", policy.nextEvent()); // the new one's end is one
            assertTrue(second.isEmpty());
        }
        synchronized (log) {
            assertEquals("configuration rejected: no good", log.get(0));
            assertTrue(log.get(1).startsWith("configuration reloaded: discovery at 127."), log.toString());
        }
    }

    private BalancerConfig config(String discovery) {
        try {
            return config(1024, settings(), 0, discovery);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
