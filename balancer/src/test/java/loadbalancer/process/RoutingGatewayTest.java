package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.policy.JsqDasPolicy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a balancer with an operator file over loopback sockets, with the real policy in each pool. */
class RoutingGatewayTest extends BalancerFixture {
    @TempDir
    private Path directory;

    private FakeUpstream first;
    private FakeUpstream second;
    private final ExecutorService threads = Executors.newCachedThreadPool();

    @BeforeEach
    void openPools() throws IOException, InterruptedException {
        first = new FakeUpstream();
        second = new FakeUpstream();
        balancer = new BalancerProcess(config(1024, settings(), 0), JsqDasPolicy::new, false, line -> {
            synchronized (log) {
                log.add(line);
            }
        });
        listenAddress = balancer.start();
    }

    @AfterEach
    void closePools() throws IOException {
        threads.shutdownNow();
        first.close();
        second.close();
    }

    private boolean applyOperatorFile(String text) throws IOException {
        return balancer.applyOperatorFile(Files.writeString(directory.resolve("operator.toml"), text), false);
    }

    private String pool(String name, FakeUpstream poolUpstream, String moreLines) {
        return "[[pool]]\nname = \"" + name + "\"\nupstreams = ["
                + (poolUpstream == null ? "" : "\"" + poolUpstream.address() + "\"")
                + "]\nsettings = { probes = false }\n" + moreLines;
    }

    private static String route(String name, String path, String moreLines) {
        return "[[route]]\nname = \"" + name + "\"\npath = \"" + path + "\"\n" + moreLines;
    }

    private static String get(String path, String id, String headers) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\nReq-Kind: read\r\n"
                + "Req-Deadline-Ms: 20000\r\n" + headers + "\r\n";
    }

    private static void respondToNext(FakeUpstream server, String body) {
        CompletableFuture.runAsync(() -> {
            try {
                server.nextRequest().respond(200, "", body);
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private String sendAndReadStatus(String request, FakeUpstream server) throws IOException {
        if (server != null) {
            respondToNext(server, "x");
        }
        try (Client client = new Client(listenAddress)) {
            String head = client.send(request).readResponse();
            return head.split(" ")[1];
        }
    }

    @Test
    void requestsAreRoutedByTheOperatorFileOrRejectedAtOnce() throws IOException {
        assertTrue(
                applyOperatorFile("[front]\nunmatched = \"refuse\"\n" + pool("one", first, "") + pool("two", second, "")
                        + pool("empty", null, "")
                        + route("deep", "/api/{key}", "to = \"one\"\n") + route("all", "/api/**", "to = \"two\"\n")
                        + route("counter", "/api/**", "headers = { X-Channel = \"counter\" }\nto = \"one\"\n")
                        + route("nobody", "/empty/{key}", "to = \"empty\"\n")
                        + route(
                                "nothing",
                                "/zero",
                                "to = [{ pool = \"one\", weight = 0 }, { pool = \"two\", weight = 0 }]\n")));
        assertEquals("200", sendAndReadStatus(get("/api/k1", "r1", ""), first));
        assertEquals(
                "200",
                sendAndReadStatus(get("/api/a%2Fb", "r2", ""), first),
                "an encoded slash does not separate segments");
        assertEquals("200", sendAndReadStatus(get("/api/a/b?c=/d", "r3", ""), second));
        assertEquals(
                "200",
                sendAndReadStatus(get("/api/a/b", "r4", "x-CHANNEL: counter\r\n"), first),
                "header names match in any case");
        assertEquals("200", sendAndReadStatus(get("/api//b", "r5", ""), second), "two slashes in a row");
        assertEquals("404", sendAndReadStatus(get("/elsewhere", "r6", ""), null));
        assertEquals("400", sendAndReadStatus(get("/api/../zero", "r7", ""), null));
        assertEquals("400", sendAndReadStatus(get("/api/%2e%2E/zero", "r8", ""), null));
        assertEquals("503", sendAndReadStatus(get("/zero", "r9", ""), null));
        assertEquals("503", sendAndReadStatus(get("/empty/k", "r10", "").replace("20000", "1500"), null));
    }

    @Test
    void aRequestThatMayHaveRunIsNotRetriedInAnotherPool() throws IOException, InterruptedException {
        assertTrue(applyOperatorFile(pool("one", first, "")
                + pool("two", second, "")
                + route("book", "/api/{key}", "to = \"one\"\nspill = [\"two\"]\n")));
        try (Client client = new Client(listenAddress)) {
            client.send(post("book", "Req-Deadline-Ms: 20000\r\n", "seat 7"));
            FakeUpstream.ReceivedRequest received = first.nextRequest();
            assertEquals("seat 7", new String(received.body(), java.nio.charset.StandardCharsets.UTF_8));
            received.reset();
            assertEquals(502, client.readStatus(), "the request fails");
        }
        assertTrue(first.isEmpty() && second.isEmpty());
    }

    @Test
    void aHangingPoolFillsUpAndDoesNotAffectOthers() throws Exception {
        assertTrue(applyOperatorFile(pool("one", first, "limit = { kind = \"fixed\", most = 2 }\nconnections = 2\n")
                + pool("two", second, "")
                + route("a", "/a/{key}", "to = \"one\"\n")
                + route("b", "/b/{key}", "to = \"two\"\n")));
        List<Client> hanging = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            hanging.add(new Client(listenAddress).send(get("/a/k" + i, "hang" + i, "")));
            first.nextRequest();
        }
        try (Client client = new Client(listenAddress)) {
            String head = client.send(get("/a/k", "more", "")).readResponse();
            assertTrue(head.startsWith("HTTP/1.1 503"), head);
            double retryAfterSeconds =
                    Double.parseDouble(head.split("Retry-After: ")[1].split("\r\n")[0]);
            assertTrue(retryAfterSeconds >= 0.1 && retryAfterSeconds <= 1.5, head);
        }
        for (int i = 0; i < 20; i++) {
            assertEquals("200", sendAndReadStatus(get("/b/k" + i, "b" + i, ""), second));
        }
        for (Client client : hanging) {
            client.close();
        }
        // The concurrency limit has room again once the clients have left.
        await(() -> balancer.loop()
                        .submit(() ->
                                balancer.gateway().router().poolStatus().get(0).inFlight())
                        .get()
                == 0);
        assertEquals("200", sendAndReadStatus(get("/a/k", "again", ""), first));
    }

    @Test
    void bodiesOverAPoolsMemoryBudgetAreRejectedUnsent() throws IOException {
        assertTrue(applyOperatorFile(
                pool("one", first, "memory = \"1KiB\"\n") + route("a", "/api/{key}", "to = \"one\"\n")));
        try (Client client = new Client(listenAddress)) {
            client.send(post("book", "Req-Deadline-Ms: 20000\r\n", "x".repeat(2000)));
            assertEquals(503, client.readStatus());
        }
        assertTrue(first.isEmpty());
    }

    @Test
    void clientRetriesDrawOnTheRetryBudget() throws IOException {
        assertTrue(applyOperatorFile(pool("one", first, "")
                + route(
                        "a",
                        "/api/{key}",
                        "to = \"one\"\nretries = { share = 0, least = \"1/h\", count_clients = true }\n")));
        assertEquals("503", sendAndReadStatus(get("/api/k", "r1", "Req-Retry: 1\r\n"), null));
        assertEquals("200", sendAndReadStatus(get("/api/k", "r2", ""), first));
    }

    @Test
    void anInvalidOperatorFileChangesNothing() throws IOException {
        assertTrue(applyOperatorFile(pool("one", first, "") + route("a", "/api/{key}", "to = \"one\"\n")));
        assertFalse(applyOperatorFile(pool("one", second, "") + route("a", "/api/{key}", "to = \"oen\"\n")));
        assertEquals("200", sendAndReadStatus(get("/api/k", "r1", ""), first));
        synchronized (log) {
            assertTrue(
                    log.contains("operator file: operator.toml:8: no pool 'oen'; did you mean 'one'?"), log::toString);
        }
    }

    /** A pool is renamed back and forth while it has open requests; each client gets each of its responses. */
    @Test
    void aHundredReplacementsUnderLoadLoseNoRequest() throws Exception {
        AtomicBoolean finished = new AtomicBoolean();
        serveAll(first, finished);
        serveAll(second, finished);
        String[] files = {
            pool("one", first, "") + route("a", "/api/{key}", "to = \"one\"\n"),
            pool("other", first, "")
                    + pool("two", second, "limit = { kind = \"gradient\", start = 50 }\n")
                    + route("a", "/api/{key}", "to = [\"other\", \"two\"]\ndeadline = \"19s\"\n"),
            pool("two", first, "") + route("b", "/api/**", "to = \"two\"\nspill = [\"site\"]\n")
        };
        assertTrue(applyOperatorFile(files[0]));
        AtomicInteger responses = new AtomicInteger();
        List<Future<Integer>> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            int clientNumber = i;
            clients.add(threads.submit((Callable<Integer>) () -> {
                int sent = 0;
                try (Client client = new Client(listenAddress)) {
                    while (!finished.get()) {
                        client.send(get("/api/k" + sent % 17, "c" + clientNumber + "-" + sent, ""));
                        assertEquals(200, client.readStatus());
                        responses.incrementAndGet();
                        sent++;
                    }
                }
                return sent;
            }));
        }
        for (int i = 1; i <= 100; i++) {
            int before = responses.get();
            assertTrue(applyOperatorFile(files[i % files.length]));
            await(() -> responses.get() > before + 2 || clients.stream().anyMatch(Future::isDone));
        }
        finished.set(true);
        int sent = 0;
        for (Future<Integer> client : clients) {
            sent += client.get(20, TimeUnit.SECONDS);
        }
        assertEquals(sent, responses.get());
        assertEquals(100, balancer.gateway().replacements());
        await(() ->
                balancer.loop().submit(() -> balancer.gateway().drainingPools()).get() == 0);
    }

    private void serveAll(FakeUpstream server, AtomicBoolean finished) {
        threads.submit(() -> {
            while (true) {
                server.nextRequest().respond(200, "", "ok");
            }
        });
    }

    private static void await(Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.call()) {
            assertTrue(System.nanoTime() < deadline, "the condition did not become true in time");
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    @Test
    void operatorsDrainEndpointsOfAnyPool() throws Exception {
        assertTrue(applyOperatorFile(pool("one", first, "") + route("a", "/api/{key}", "to = \"one\"\n")));
        String id = "one/" + first.address();
        assertEquals(
                Map.of(true, id),
                Map.of(
                        balancer.loop()
                                .submit(() -> balancer.operatorActions().drain(id))
                                .get(),
                        id));
        assertEquals("503", sendAndReadStatus(get("/api/k", "r1", "").replace("20000", "1500"), null));
        assertTrue(balancer.loop()
                .submit(() -> balancer.operatorActions().restore(id))
                .get());
        assertEquals("200", sendAndReadStatus(get("/api/k", "r2", ""), first));
    }
}
