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
        StandInDiscovery d = new StandInDiscovery(machines.all(), new FleetPlan.Discovery(callTime, callTimeout, kept));
        open.add(d::close);
        return d;
    }

    private StandInDiscovery discovery() throws IOException {
        return discovery(0, 2_000_000, 100);
    }

    private Asked ask(StandInDiscovery d, String uri) throws IOException {
        Asked a = new Asked(d, uri);
        open.add(0, a);
        return a;
    }

    private long publish(StandInDiscovery d, int machine, String state) {
        return d.publish(List.of(machines.entry(machine, state, 1, 0)));
    }

    private static List<String> uids(String list) {
        List<String> all = new ArrayList<>();
        Matcher m = UID.matcher(list);
        while (m.find()) {
            all.add(m.group(1));
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
        StandInDiscovery d = discovery();
        publish(d, 1, "terminating");
        publish(d, 2, "terminated");
        String list = ask(d, "/api/targets").line();
        assertTrue(list.startsWith("{\"rev\":3,\"all\":true,"), list);
        assertEquals(4, uids(list).size());
        assertFalse(uids(list).contains(machines.uid(2)));
        assertTrue(list.contains("\"state\":\"terminating\""), list);
        assertEquals(list.length(), d.listBytes());
        assertTrue(ask(d, "/api/other").until("\r\n").startsWith("HTTP/1.1 404"));
        assertTrue(ask(d, "/api/targets?watch=1&from=x").until("\r\n").startsWith("HTTP/1.1 400"));
    }

    @Test
    void aWatchHearsEachChangeOnceAndEmptyLinesBetween() throws IOException {
        StandInDiscovery d = discovery();
        Asked watch = ask(d, "/api/targets?watch=1&from=0");
        assertEquals(5, uids(watch.line()).size());
        publish(d, 0, "terminating");
        String change = watch.line();
        assertTrue(change.startsWith("{\"rev\":2,\"all\":false,"), change);
        assertEquals(List.of(machines.uid(0)), uids(change));
        watch.until("1\r\n\n\r\n"); // a chunk that holds an empty line
        assertTrue(d.counts().beats() >= 1);
        assertEquals(1, d.watches());
        watch.close();
        await(() -> d.watches() == 0);
    }

    @Test
    void whoComesWithAKnownRevisionHearsWhatChangedSinceEachMachineOnce() throws IOException {
        StandInDiscovery d = discovery();
        publish(d, 3, "terminating");
        publish(d, 3, "terminated");
        publish(d, 4, "terminating");
        String since = ask(d, "/api/targets?watch=1&from=1").line();
        assertTrue(since.startsWith("{\"rev\":4,\"all\":false,"), since);
        assertEquals(List.of(machines.uid(3), machines.uid(4)), uids(since));
        assertTrue(since.contains("\"terminated\""), since);
        String nothing = ask(d, "/api/targets?watch=1&from=4").line();
        assertEquals("{\"rev\":4,\"all\":false,\"targets\":[]}\n", nothing);
    }

    @Test
    void anOldOrUnheardOfRevisionGetsTheWholeList() throws IOException {
        StandInDiscovery d = discovery(0, 2_000_000, 2);
        for (int i = 0; i < 4; i++) {
            publish(d, i, "terminating");
        }
        assertTrue(ask(d, "/api/targets?watch=1&from=3").line().contains("\"all\":false"));
        String old = ask(d, "/api/targets?watch=1&from=2").line();
        assertTrue(old.startsWith("{\"rev\":5,\"all\":true,"), old);
        assertEquals(5, uids(old).size());
        assertTrue(ask(d, "/api/targets?watch=1&from=77").line().contains("\"all\":true"));
        assertEquals(2, d.counts().wholes());
    }

    @Test
    void aSlowOneTakesCallsOneAfterAnotherAndRefusesWhoWaitedTooLong() throws IOException {
        StandInDiscovery d = discovery(0, 100_000, 100);
        d.slow(2_000_000);
        Asked first = ask(d, "/api/targets");
        await(() -> d.counts().calls() == 1);
        Asked second = ask(d, "/api/targets");
        assertTrue(first.until("\r\n").startsWith("HTTP/1.1 200"));
        assertTrue(second.until("\r\n").startsWith("HTTP/1.1 503"));
        assertEquals(1, d.counts().refused());
        assertTrue(d.counts().longestMicros() > 100_000);
        d.back();
        assertTrue(ask(d, "/api/targets").until("\r\n").startsWith("HTTP/1.1 200"));
    }

    @Test
    void whenItGoesDownWatchesEndAndCallsAreReset() throws IOException {
        StandInDiscovery d = discovery();
        Asked watch = ask(d, "/api/targets?watch=1&from=0");
        watch.line();
        d.down();
        assertTrue(watch.ends());
        publish(d, 0, "terminating");
        boolean ended;
        try (Asked call = new Asked(d, "/api/targets")) {
            ended = call.ends();
        } catch (IOException e) {
            ended = true; // reset before the call was written
        }
        assertTrue(ended);
        await(() -> d.counts().refused() == 1);
        d.back();
        assertTrue(ask(d, "/api/targets?watch=1&from=1").line().startsWith("{\"rev\":2,\"all\":false,"));
    }

    @Test
    void cutOffItSaysNothingAndBackItTellsWatchesWhatTheyMissed() throws IOException {
        StandInDiscovery d = discovery();
        Asked watch = ask(d, "/api/targets?watch=1&from=0");
        watch.line();
        d.cutOff();
        Asked call = ask(d, "/api/targets");
        await(() -> d.counts().silent() == 1);
        long lines = d.counts().lines();
        publish(d, 0, "terminating");
        publish(d, 1, "terminating");
        assertEquals(lines, d.counts().lines());
        assertEquals(1, d.watches());
        d.back();
        assertTrue(call.ends(), "what came meanwhile is reset");
        String missed = watch.line();
        assertTrue(missed.startsWith("{\"rev\":3,\"all\":false,"), missed);
        assertEquals(List.of(machines.uid(0), machines.uid(1)), uids(missed));
    }
}
