package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Lists of more endpoints than a balancer may keep. */
class PartialEndpointListTest extends BalancerFixture {
    private static final int MOST = 10;
    private static final String OPEN = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private String longList(int rev, boolean all, String state) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":["
                + IntStream.range(0, 100)
                        .mapToObj(i -> target(state).replace("\"s1\"", "\"s" + i + "\""))
                        .collect(Collectors.joining(","))
                + "]}\n";
    }

    private static int entries(String event) {
        return event.length() - event.replace("=", "").length();
    }

    private void startBounded(String known) throws IOException, InterruptedException {
        Map<String, Object> settings = settings();
        settings.put("Balancers", 16);
        settings.put("Rank", 5);
        Map<String, Object> json = new LinkedHashMap<>(Map.of(
                "name",
                "n1",
                "listen",
                "127.0.0.1:0",
                "admin_addr",
                "127.0.0.1:0",
                "discovery",
                discovery.address(),
                "seed",
                "8c1f30d27a5be964",
                "limits",
                Map.of("sockets", 1024, "upstreams", MOST),
                "settings",
                settings));
        if (known != null) {
            json.put("known", JSON.std.mapFrom(known));
        }
        Path file = Files.createTempFile("long-list", ".json");
        Files.writeString(file, JSON.std.asString(json));
        balancer = new BalancerProcess(
                BalancerConfigReader.read(Map.of("ROUTER_CONFIG", file.toString())),
                (s, seed) -> policy,
                warmsUp,
                line -> {
                    synchronized (log) {
                        log.add(line);
                    }
                });
        Files.delete(file);
        listenAddress = balancer.start();
    }

    private String cached() throws InterruptedException {
        String event = policy.nextEvent();
        while (!event.startsWith("CACHED")) { // the fraction of the slow-start budget comes before it
            event = policy.nextEvent();
        }
        return event;
    }

    private String call(InetSocketAddress operators, String line) throws IOException {
        try (Socket socket = new Socket(operators.getAddress(), operators.getPort())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
                    .readLine();
        }
    }

    @Test
    void aStartWithALongListServesWithASubsetAndReportsIt() throws IOException, InterruptedException {
        startBounded(longList(41, true, "in_service"));
        String event = cached();
        assertTrue(entries(event) > 0 && entries(event) <= MOST, event);
        InetSocketAddress operators = balancer.listenForOperators();
        assertTrue(balancer.awaitReady(20_000));
        String note = "; holds one part in 16 of a list of 100 upstreams, 10 at most";
        assertEquals("ACK ready" + note, call(operators, "check"));
        try (Client client = new Client(listenAddress)) {
            client.send("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n");
            assertTrue(client.readResponse().startsWith("HTTP/1.1 200"));
            assertEquals("ready" + note, new String(client.body, StandardCharsets.UTF_8).strip());
        }
        synchronized (log) {
            assertEquals(
                    1,
                    log.stream()
                            .filter(l -> l.startsWith("holds one part in 16"))
                            .count(),
                    log.toString());
        }
        // Whether there is such an endpoint cannot be known here; if it comes to be kept, it is drained.
        String other = IntStream.range(0, 100)
                .mapToObj(i -> "s" + i)
                .filter(s -> !event.contains(s + "="))
                .findFirst()
                .orElseThrow();
        assertTrue(call(operators, "set-down " + other).startsWith("ACK "));
    }

    @Test
    void ofALongListOverAWatchASubsetIsKeptAndItsDrainsApply() throws IOException, InterruptedException {
        startBounded(list(41, true, "in_service"));
        assertEquals("CACHED [s1=UP]", cached());
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        watch.write(OPEN);
        watch.write(chunk(longList(42, true, "in_service")));
        assertEquals("slow-start fraction 16.0", policy.nextEvent());
        String event = policy.nextEvent();
        assertTrue(event.startsWith("SNAPSHOT ") && entries(event) <= MOST, event);
        watch.write(chunk(longList(43, false, "terminating")));
        assertEquals(event.replace("SNAPSHOT", "DELTA").replace("=UP", "=DRAINING"), policy.nextEvent());
    }

    /** No endpoint that is kept may be sent to, and others may exist: another subset is polled at once. */
    @Test
    void aBalancerWithoutUsableEndpointsPollsForAnotherSubset() throws IOException, InterruptedException {
        startBounded(longList(41, true, "in_service"));
        String first = cached();
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        watch.write(OPEN);
        watch.write(chunk(longList(42, false, "terminating")));
        assertEquals(first.replace("CACHED", "DELTA").replace("=UP", "=DRAINING"), policy.nextEvent());
        FakeUpstream.ReceivedRequest fetch = discovery.nextRequest();
        assertEquals("GET /api/targets HTTP/1.1", fetch.requestLine());
        fetch.respond(200, "", longList(43, true, "in_service").strip());
        String event = policy.nextEvent();
        while (!event.startsWith("SNAPSHOT")) {
            event = policy.nextEvent();
        }
        assertTrue(entries(event) > 0, event);
        for (String entry :
                first.substring(first.indexOf('[') + 1, first.length() - 1).split(", ")) {
            assertTrue(!event.contains(entry + ",") && !event.contains(entry + "]"), entry + " again in " + event);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "-1", "2.5", "\"many\""})
    void anInvalidBoundIsAnError(String bound) throws IOException {
        Path file = Files.createTempFile("long-list", ".json");
        Files.writeString(
                file,
                JSON.std
                        .asString(Map.of(
                                "name",
                                "n1",
                                "listen",
                                "127.0.0.1:0",
                                "discovery",
                                discovery.address(),
                                "seed",
                                "1",
                                "settings",
                                settings(),
                                "limits",
                                Map.of("sockets", 100)))
                        .replace("\"sockets\":100", "\"sockets\":100,\"upstreams\":" + bound));
        ProcessConfigException bad = assertThrows(
                ProcessConfigException.class,
                () -> BalancerConfigReader.read(Map.of("ROUTER_CONFIG", file.toString())));
        Files.delete(file);
        assertEquals(
                "limits: upstreams: expected a whole number of 1 or more, got " + bound.replace("\"", ""),
                bad.getMessage());
    }
}
