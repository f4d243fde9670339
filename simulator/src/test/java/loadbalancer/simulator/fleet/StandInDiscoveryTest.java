package loadbalancer.simulator.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The stand-in keeps to the protocol page, also where it is slow, down or cut off. */
class StandInDiscoveryTest {
    private static final int WAIT_MS = 30_000;
    private static final Pattern UID = Pattern.compile("\"uid\":\"([^\"]+)\"");

    private final Machines machines = new Machines(5, List.of("a", "b"), 2, List.of("127.0.0.1:40001"));
    private final List<Closeable> open = new ArrayList<>();

    /** A connection as a client sees it: text as it came, and whether it has ended. */
    private static final class Asked implements Closeable {
        private final Socket socket;
        private final StringBuilder text = new StringBuilder();

        Asked(StandInDiscovery discovery, String uri) throws IOException {
            socket = new Socket(
                    InetAddress.getLoopbackAddress(), discovery.address().getPort());
            socket.setSoTimeout(WAIT_MS);
            socket.getOutputStream()
                    .write(("GET " + uri + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        }

        /** Reads until that text has come; what came up to then. */
        String until(String wanted) throws IOException {
            while (text.indexOf(wanted) < 0) {
                int c = socket.getInputStream().read();
                assertTrue(c >= 0, "it ended before '" + wanted + "' came: " + text);
                text.append((char) c);
            }
            return text.toString();
        }

        /** The next JSON line, without the framing. */
        String line() throws IOException {
            text.setLength(0);
            String all = until("}\n");
            return all.substring(all.indexOf("{\"rev\""));
        }

        /** Whether the connection ends. */
        boolean ends() {
            try {
                while (socket.getInputStream().read() >= 0) {
                    text.append('.');
                }
                return true;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true; // reset
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private StandInDiscovery discovery(long callTime, long callTimeout, int kept) throws IOException {
        StandInDiscovery discovery =
                new StandInDiscovery(machines.all(), new FleetPlan.Discovery(callTime, callTimeout, kept));
        open.add(discovery::close);
        return discovery;
    }

    private StandInDiscovery discovery() throws IOException {
        return discovery(0, 2_000_000, 100);
    }

    private Asked ask(StandInDiscovery discovery, String uri) throws IOException {
        Asked a = new Asked(discovery, uri);
        open.add(0, a);
        return a;
    }

    private long publish(StandInDiscovery discovery, int machine, String state) {
        return discovery.publish(List.of(machines.entry(machine, state, 1, 0)));
    }

    private static List<String> uids(String list) {
        List<String> all = new ArrayList<>();
        Matcher matcher = UID.matcher(list);
        while (matcher.find()) {
            all.add(matcher.group(1));
        }
        return all;
    }

    private static void await(BooleanSupplier condition) {
        long until = System.nanoTime() + WAIT_MS * 1_000_000L;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, "it didn't come in time");
            Thread.onSpinWait();
        }
    }

    @AfterEach
    void closeAll() throws IOException {
        for (Closeable c : open) {
            c.close();
        }
    }

    @Test
    void theWholeListHoldsAllThatRuns() throws IOException {
        StandInDiscovery discovery = discovery();
        publish(discovery, 1, "terminating");
        publish(discovery, 2, "terminated");
        String list = ask(discovery, "/api/targets").line();
        assertTrue(list.startsWith("{\"rev\":3,\"all\":true,"), list);
        assertEquals(4, uids(list).size());
        assertFalse(uids(list).contains(machines.uid(2)));
        assertTrue(list.contains("\"state\":\"terminating\""), list);
        assertEquals(list.length(), discovery.listBytes());
        assertTrue(ask(discovery, "/api/other").until("\r\n").startsWith("HTTP/1.1 404"));
        assertTrue(ask(discovery, "/api/targets?watch=1&from=x").until("\r\n").startsWith("HTTP/1.1 400"));
    }

    @Test
    void aWatchHearsEachChangeOnceAndEmptyLinesBetween() throws IOException {
        StandInDiscovery discovery = discovery();
        Asked watch = ask(discovery, "/api/targets?watch=1&from=0");
        assertEquals(5, uids(watch.line()).size());
        publish(discovery, 0, "terminating");
        String change = watch.line();
        assertTrue(change.startsWith("{\"rev\":2,\"all\":false,"), change);
        assertEquals(List.of(machines.uid(0)), uids(change));
        watch.until("1\r\n\n\r\n"); // a chunk that holds an empty line
        assertTrue(discovery.counts().beats() >= 1);
        assertEquals(1, discovery.watches());
        watch.close();
        await(() -> discovery.watches() == 0);
    }

    @Test
    void whoComesWithAKnownRevisionHearsWhatChangedSinceEachMachineOnce() throws IOException {
        StandInDiscovery discovery = discovery();
        publish(discovery, 3, "terminating");
        publish(discovery, 3, "terminated");
        publish(discovery, 4, "terminating");
        String since = ask(discovery, "/api/targets?watch=1&from=1").line();
        assertTrue(since.startsWith("{\"rev\":4,\"all\":false,"), since);
        assertEquals(List.of(machines.uid(3), machines.uid(4)), uids(since));
        assertTrue(since.contains("\"terminated\""), since);
        String nothing = ask(discovery, "/api/targets?watch=1&from=4").line();
        assertEquals("{\"rev\":4,\"all\":false,\"targets\":[]}\n", nothing);
    }

    @Test
    void anOldOrUnheardOfRevisionGetsTheWholeList() throws IOException {
        StandInDiscovery discovery = discovery(0, 2_000_000, 2);
        for (int i = 0; i < 4; i++) {
            publish(discovery, i, "terminating");
        }
        assertTrue(ask(discovery, "/api/targets?watch=1&from=3").line().contains("\"all\":false"));
        String old = ask(discovery, "/api/targets?watch=1&from=2").line();
        assertTrue(old.startsWith("{\"rev\":5,\"all\":true,"), old);
        assertEquals(5, uids(old).size());
        assertTrue(ask(discovery, "/api/targets?watch=1&from=77").line().contains("\"all\":true"));
        assertEquals(2, discovery.counts().wholes());
    }

    @Test
    void aSlowOneTakesCallsOneAfterAnotherAndRefusesWhoWaitedTooLong() throws IOException {
        StandInDiscovery discovery = discovery(0, 100_000, 100);
        discovery.slow(2_000_000);
        Asked first = ask(discovery, "/api/targets");
        await(() -> discovery.counts().calls() == 1);
        Asked second = ask(discovery, "/api/targets");
        assertTrue(first.until("\r\n").startsWith("HTTP/1.1 200"));
        assertTrue(second.until("\r\n").startsWith("HTTP/1.1 503"));
        assertEquals(1, discovery.counts().refused());
        assertTrue(discovery.counts().longestMicros() > 100_000);
        discovery.back();
        assertTrue(ask(discovery, "/api/targets").until("\r\n").startsWith("HTTP/1.1 200"));
    }

    @Test
    void whenItGoesDownWatchesEndAndCallsAreReset() throws IOException {
        StandInDiscovery discovery = discovery();
        Asked watch = ask(discovery, "/api/targets?watch=1&from=0");
        watch.line();
        discovery.down();
        assertTrue(watch.ends());
        publish(discovery, 0, "terminating");
        boolean ended;
        try (Asked call = new Asked(discovery, "/api/targets")) {
            ended = call.ends();
        } catch (IOException e) {
            ended = true; // reset before the call was written
        }
        assertTrue(ended);
        await(() -> discovery.counts().refused() == 1);
        discovery.back();
        assertTrue(ask(discovery, "/api/targets?watch=1&from=1").line().startsWith("{\"rev\":2,\"all\":false,"));
    }

    @Test
    void cutOffItSaysNothingAndBackItTellsWatchesWhatTheyMissed() throws IOException {
        StandInDiscovery discovery = discovery();
        Asked watch = ask(discovery, "/api/targets?watch=1&from=0");
        watch.line();
        discovery.cutOff();
        Asked call = ask(discovery, "/api/targets");
        await(() -> discovery.counts().silent() == 1);
        long lines = discovery.counts().lines();
        publish(discovery, 0, "terminating");
        publish(discovery, 1, "terminating");
        assertEquals(lines, discovery.counts().lines());
        assertEquals(1, discovery.watches());
        discovery.back();
        assertTrue(call.ends(), "what came meanwhile is reset");
        String missed = watch.line();
        assertTrue(missed.startsWith("{\"rev\":3,\"all\":false,"), missed);
        assertEquals(List.of(machines.uid(0), machines.uid(1)), uids(missed));
    }
}
