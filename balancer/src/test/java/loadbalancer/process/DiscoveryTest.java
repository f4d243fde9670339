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
class DiscoveryTest extends BalancerFixture {
    @Test
    void theListIsWatchedAsTheModuleAsksAndSplitLinesAreRead() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        FakeUpstream.Got watch = discovery.next();
        assertEquals("GET /api/targets?watch=1&from=41 HTTP/1.1", watch.line());
        String first = list(43, true, "in_service");
        watch.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.raw(chunk(first.substring(0, 30)));
        watch.raw(chunk(first.substring(30)));
        assertEquals("SNAPSHOT [s1=UP]", module.next());
        watch.raw(chunk("\n")); // nothing has changed
        watch.raw(chunk(list(44, false, "terminating")));
        assertEquals("DELTA [s1=DRAINING]", module.next());
        watch.raw(chunk("{not json\n"));
        assertEquals("UNAVAILABLE []", module.next());
        onLoop(() -> module.actions.watch(true));
        assertEquals(
                "GET /api/targets?watch=1&from=44 HTTP/1.1", discovery.next().line());
        onLoop(() -> module.actions.fetchList());
        FakeUpstream.Got fetch = discovery.next();
        assertEquals("GET /api/targets HTTP/1.1", fetch.line());
        fetch.answer(200, "", list(45, true, "in_service").strip());
        assertEquals("SNAPSHOT [s1=UP]", module.next());
        onLoop(() -> module.actions.fetchList());
        discovery.next().answer(503, "", "");
        assertEquals("UNAVAILABLE []", module.next());
    }

    private static final String OPEN = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** A list may come indented, over many lines, cut anywhere. */
    @Test
    void aListIsReadWhereverItsLinesAndPiecesEnd() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        FakeUpstream.Got watch = discovery.next();
        watch.raw(OPEN);
        String indented = list(43, true, "in_service").replace(",", ",\n\n  ").replace("{", "{\r\n    ");
        for (int i = 0; i < indented.length(); i += 7) {
            watch.raw(chunk(indented.substring(i, Math.min(indented.length(), i + 7))));
        }
        assertEquals("SNAPSHOT [s1=UP]", module.next());
        watch.raw(chunk("\n" + list(44, false, "terminating") + "\n" + list(45, false, "in_service")));
        assertEquals("DELTA [s1=DRAINING]", module.next());
        assertEquals("DELTA [s1=UP]", module.next());
        onLoop(() -> module.actions.fetchList());
        String half = indented.substring(0, indented.length() / 2);
        discovery.next().answer(200, "", half);
        assertEquals("UNAVAILABLE []", module.next());
    }

    /** Empty lines go on behind half a list: they must not make it look alive. */
    @Test
    @Timeout(60)
    void halfAListIsGivenUpThoughItsWatchGoesOn() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        FakeUpstream.Got watch = discovery.next();
        watch.raw(OPEN + chunk("{\"rev\":43,\n"));
        String told = null;
        while (told == null) {
            try {
                watch.raw(chunk("\n"));
            } catch (IOException e) {
                told = module.next(); // the balancer has closed it
            }
            told = told != null ? told : module.told.poll(100, TimeUnit.MILLISECONDS);
        }
        assertEquals("UNAVAILABLE []", told);
    }

    /**
     * What a silent watch misses counts as told after 6 s, and the grace begins. The loop's own timers say what was
     * first: the new watch, with the time for a failed try left, or the end of that.
     */
    @Test
    @Timeout(60)
    void aSilentWatchIsOpenedAnewBeforeWhatItMissesBinds() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        FakeUpstream.Got watch = discovery.next();
        watch.raw(OPEN + chunk("\n"));
        assertEquals("DELTA []", module.next());
        node.loop()
                .schedule(
                        () -> module.told.add("two failed calls of 2 s later"),
                        6_000 + 1_000 - 2_500,
                        TimeUnit.MILLISECONDS);
        assertEquals("UNAVAILABLE []", module.next());
        assertEquals("two failed calls of 2 s later", module.next());
    }

    /** Where lists are pushed a process goes by what its agent has, and of drains told before no grace is left. */
    @Test
    @Timeout(60)
    void whereListsArePushedAStartWaitsForTheAgentAndItsDrainsAreNotNew() throws IOException, InterruptedException {
        start(Map.of(), 1024, "push");
        FakeUpstream.Got watch = discovery.next();
        assertEquals("GET /api/targets?watch=1&from=41 HTTP/1.1", watch.line());
        try (Client client = new Client(at)) {
            assertEquals(
                    503, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
            client.send(IDEMPOTENT); // the module of this test sends it all the same
            assertEquals("NOT_SENT", module.next());
            assertEquals(502, client.status());
            watch.raw(OPEN + chunk(list(42, false, "terminating")));
            assertEquals("SNAPSHOT [s1=DRAINING]", module.next());
            client.send(IDEMPOTENT);
            assertEquals("NOT_SENT", module.next());
            assertEquals(502, client.status());
            assertEquals(
                    503, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
            watch.raw(chunk(list(43, false, "in_service")));
            assertEquals("DELTA [s1=UP]", module.next());
            assertEquals(
                    200, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
        }
        assertEquals(0, upstream.connections());
        watch.reset();
        assertEquals(
                "GET /api/targets?watch=1&from=43 HTTP/1.1", discovery.next().line());
    }

    /** The agent has nothing newer than what was known: an empty line says so, and is enough. */
    @Test
    @Timeout(60)
    void whereListsArePushedAnEmptyLineIsEnoughForAStart() throws IOException, InterruptedException {
        start(Map.of(), 1024, "push");
        discovery.next().raw(OPEN + chunk("\n"));
        assertEquals("SNAPSHOT [s1=UP]", module.next());
        try (Client client = new Client(at)) {
            assertEquals(
                    200, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
        }
    }

    /**
     * Discovery is down at a start: the process is ready well before the terms want it, by the loop's own timers.
     * It goes by nothing older than what its agent has, though.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    @Timeout(60)
    void aStartIsReadySoonAlsoWhileDiscoveryIsDownAndSendsNothingByTheOldList(boolean refused)
            throws IOException, InterruptedException {
        if (refused) {
            discovery.close();
        }
        start(Map.of(), 1024, "push");
        node.loop()
                .schedule(
                        () -> module.told.add(
                                String.valueOf(node.operatorActions().unreadiness())),
                        3_500,
                        TimeUnit.MILLISECONDS);
        assertEquals("null", module.next()); // and no list before it
        try (Client client = new Client(at)) {
            assertEquals(
                    200, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
            client.send(IDEMPOTENT); // the module of this test sends it all the same
            assertEquals("NOT_SENT", module.next());
            assertEquals(502, client.status());
        }
        if (!refused) {
            String told = null;
            while (told == null) { // a call that hangs is given up for another
                try {
                    discovery.next().raw(OPEN + chunk(list(42, false, "terminating")));
                    told = module.told.poll(1, TimeUnit.SECONDS);
                } catch (IOException e) {
                    told = null;
                }
            }
            assertEquals("SNAPSHOT [s1=DRAINING]", told);
        }
        assertEquals(0, upstream.connections());
    }

    /** A list is an answer as good as an empty line: from there on a watch may say nothing for as long as any other. */
    @Test
    @Timeout(60)
    void aWatchThatBeganWithAListIsNotOpenedAnewBeforeTheNextLineIsDue() throws IOException, InterruptedException {
        Map<String, Object> settings = settings();
        settings.put("MembershipMode", "push"); // and the grace of the site: a call must be answered in half of it
        node = new BalancerProcess(config(1024, settings, 0), (s, seed) -> module, rehearse, line -> {});
        node.start();
        FakeUpstream.Got watch = discovery.next();
        long before = System.nanoTime();
        watch.raw(OPEN + chunk(list(42, true, "in_service")));
        String line = discovery.next().line(); // nothing more is said: it is broken in the end
        long silent = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before);
        assertEquals("GET /api/targets?watch=1&from=42 HTTP/1.1", line);
        assertTrue(silent >= 2_900, "opened anew after " + silent + " ms, while a line comes every 2 s");
    }

    /** A new configuration names another discovery: watched at once, and the old one's end is no failure. */
    @Test
    void aNewConfigurationMovesTheWatchAndKeepsTheListAndTheRequests() throws IOException, InterruptedException {
        start();
        onLoop(() -> module.actions.watch(true));
        FakeUpstream.Got old = discovery.next();
        old.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list(42, true, "in_service")));
        assertEquals("SNAPSHOT [s1=UP]", module.next());
        try (FakeUpstream second = new FakeUpstream();
                FakeUpstream third = new FakeUpstream();
                Client client = new Client(at)) {
            client.send(IDEMPOTENT);
            FakeUpstream.Got held = upstream.next();
            node.reload(() -> {
                throw new ProcessConfigException("no good");
            });
            node.reload(() -> config(second.address()));
            node.reload(() -> config(second.address())); // said twice, moved once
            assertTrue(old.closedByPeer());
            FakeUpstream.Got watch = second.next();
            assertEquals("GET /api/targets?watch=1&from=0 HTTP/1.1", watch.line());
            held.answer(200, "", "ok");
            assertEquals("OK closed", module.next()); // and no FAILED before it
            assertEquals(200, client.status());
            client.send(IDEMPOTENT); // by the old list, meanwhile
            upstream.next().answer(200, "", "ok");
            assertEquals(200, client.status());
            assertEquals("OK closed", module.next());
            watch.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list(7, true, "terminating")));
            assertEquals("SNAPSHOT [s1=DRAINING]", module.next());
            node.reload(() -> config(third.address()));
            assertTrue(watch.closedByPeer());
            third.next().socket().close();
            assertEquals("UNAVAILABLE []", module.next()); // the new one's end is one
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
