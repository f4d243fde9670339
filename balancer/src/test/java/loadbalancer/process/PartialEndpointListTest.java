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

/** Lists with more endpoints than a balancer may keep. */
class PartialEndpointListTest extends BalancerFixture {
    private static final int MAX_ENDPOINTS = 10;
    private static final String WATCH_RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private String longList(int rev, boolean all, String state) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":["
                + IntStream.range(0, 100)
                        .mapToObj(i -> endpointEntry(state).replace("\"s1\"", "\"s" + i + "\""))
                        .collect(Collectors.joining(","))
                + "]}\n";
    }

    private static int entryCount(String event) {
        return event.length() - event.replace("=", "").length();
    }

    private void startWithKnownList(String known) throws IOException, InterruptedException {
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
                Map.of("sockets", 1024, "upstreams", MAX_ENDPOINTS),
                "settings",
                settings));
        if (known != null) {
            json.put("known", JSON.std.mapFrom(known));
        }
        Path file = Files.createTempFile("long-list", ".json");
        Files.writeString(file, JSON.std.asString(json));
        balancer = new BalancerProcess(
                BalancerConfigReader.read(Map.of("ROUTER_CONFIG", file.toString())),
                (policySettings, seed) -> policy,
                warmsUp,
                line -> {
                    synchronized (log) {
                        log.add(line);
                    }
                });
        Files.delete(file);
        listenAddress = balancer.start();
    }

    private String nextCachedList() throws InterruptedException {
        String event = policy.nextEvent();
        while (!event.startsWith("CACHED")) { // the event with the slow-start budget factor comes first
            event = policy.nextEvent();
        }
        return event;
    }

    private String call(InetSocketAddress operatorAddress, String line) throws IOException {
        try (Socket socket = new Socket(operatorAddress.getAddress(), operatorAddress.getPort())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
                    .readLine();
        }
    }

    @Test
    void aStartWithALongListServesWithASubsetAndReportsIt() throws IOException, InterruptedException {
        startWithKnownList(longList(41, true, "in_service"));
        String event = nextCachedList();
        assertTrue(entryCount(event) > 0 && entryCount(event) <= MAX_ENDPOINTS, event);
        InetSocketAddress operatorAddress = balancer.listenForOperators();
        assertTrue(balancer.awaitReady(20_000));
        String note = "; holds one part in 16 of a list of 100 upstreams, 10 at most";
        assertEquals("ACK ready" + note, call(operatorAddress, "check"));
        try (Client client = new Client(listenAddress)) {
            client.send("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n");
            assertTrue(client.readResponse().startsWith("HTTP/1.1 200"));
            assertEquals("ready" + note, new String(client.body, StandardCharsets.UTF_8).strip());
        }
        synchronized (log) {
            assertEquals(
                    1,
                    log.stream()
                            .filter(line -> line.startsWith("holds one part in 16"))
                            .count(),
                    log.toString());
        }
        // The balancer cannot know whether an endpoint that it does not keep exists, so it accepts the drain.
        String unkeptId = IntStream.range(0, 100)
                .mapToObj(i -> "s" + i)
                .filter(id -> !event.contains(id + "="))
                .findFirst()
                .orElseThrow();
        assertTrue(call(operatorAddress, "set-down " + unkeptId).startsWith("ACK "));
    }

    @Test
    void aSubsetOfALongWatchedListIsKeptAndItsDrainsApply() throws IOException, InterruptedException {
        startWithKnownList(endpointList(41, true, "in_service"));
        assertEquals("CACHED [s1=UP]", nextCachedList());
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        watch.write(WATCH_RESPONSE_HEAD);
        watch.write(chunk(longList(42, true, "in_service")));
        assertEquals("slow-start budget factor 16.0", policy.nextEvent());
        String event = policy.nextEvent();
        assertTrue(event.startsWith("SNAPSHOT ") && entryCount(event) <= MAX_ENDPOINTS, event);
        watch.write(chunk(longList(43, false, "terminating")));
        assertEquals(event.replace("SNAPSHOT", "DELTA").replace("=UP", "=DRAINING"), policy.nextEvent());
    }

    /** None of the kept endpoints is usable, but others may be, so the balancer polls for another subset at once. */
    @Test
    void aBalancerWithoutUsableEndpointsPollsForAnotherSubset() throws IOException, InterruptedException {
        startWithKnownList(longList(41, true, "in_service"));
        String first = nextCachedList();
        onLoop(() -> policy.actions.watch(true));
        FakeUpstream.ReceivedRequest watch = discovery.nextRequest();
        watch.write(WATCH_RESPONSE_HEAD);
        watch.write(chunk(longList(42, false, "terminating")));
        assertEquals(first.replace("CACHED", "DELTA").replace("=UP", "=DRAINING"), policy.nextEvent());
        FakeUpstream.ReceivedRequest fetch = discovery.nextRequest();
        assertEquals("GET /api/targets HTTP/1.1", fetch.requestLine());
        fetch.respond(200, "", longList(43, true, "in_service").strip());
        String event = policy.nextEvent();
        while (!event.startsWith("SNAPSHOT")) {
            event = policy.nextEvent();
        }
        assertTrue(entryCount(event) > 0, event);
        for (String entry :
                first.substring(first.indexOf('[') + 1, first.length() - 1).split(", ")) {
            assertTrue(
                    !event.contains(entry + ",") && !event.contains(entry + "]"), entry + " is kept again in " + event);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "-1", "2.5", "\"many\""})
    void anInvalidMaxEndpointsIsAnError(String maxEndpoints) throws IOException {
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
                        .replace("\"sockets\":100", "\"sockets\":100,\"upstreams\":" + maxEndpoints));
        ProcessConfigException error = assertThrows(
                ProcessConfigException.class,
                () -> BalancerConfigReader.read(Map.of("ROUTER_CONFIG", file.toString())));
        Files.delete(file);
        assertEquals(
                "limits: upstreams: expected a whole number of 1 or more, got " + maxEndpoints.replace("\"", ""),
                error.getMessage());
    }
}
