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

/** A balancer with an operator file, over loopback sockets, with the real policy in each pool. */
class RoutingGatewayTest extends BalancerFixture {
    @TempDir
    private Path folder;

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

    private boolean operate(String text) throws IOException {
        return balancer.applyOperatorFile(Files.writeString(folder.resolve("operator.toml"), text), false);
    }

    private String pool(String name, FakeUpstream at1, String more) {
        return "[[pool]]\nname = \"" + name + "\"\nupstreams = [" + (at1 == null ? "" : "\"" + at1.address() + "\"")
                + "]\nsettings = { probes = false }\n" + more;
    }

    private static String route(String name, String path, String more) {
        return "[[route]]\nname = \"" + name + "\"\npath = \"" + path + "\"\n" + more;
    }

    private static String get(String path, String id, String more) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\nReq-Kind: read\r\n"
                + "Req-Deadline-Ms: 20000\r\n" + more + "\r\n";
    }

    private static void answer(FakeUpstream at1, String body) {
        CompletableFuture.runAsync(() -> {
            try {
                at1.nextRequest().respond(200, "", body);
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private String ask(String request, FakeUpstream from) throws IOException {
        if (from != null) {
            answer(from, "x");
        }
        try (Client client = new Client(listenAddress)) {
            String head = client.send(request).readResponse();
            return head.split(" ")[1];
        }
    }

    @Test
    void requestsAreRoutedByTheOperatorFileOrRejectedAtOnce() throws IOException {
        assertTrue(operate("[front]\nunmatched = \"refuse\"\n" + pool("one", first, "") + pool("two", second, "")
                + pool("empty", null, "")
                + route("deep", "/api/{key}", "to = \"one\"\n") + route("all", "/api/**", "to = \"two\"\n")
                + route("counter", "/api/**", "headers = { X-Channel = \"counter\" }\nto = \"one\"\n")
                + route("nobody", "/empty/{key}", "to = \"empty\"\n")
                + route(
                        "nothing",
                        "/zero",
                        "to = [{ pool = \"one\", weight = 0 }, { pool = \"two\", weight = 0 }]\n")));
        assertEquals("200", ask(get("/api/k1", "r1", ""), first));
        assertEquals("200", ask(get("/api/a%2Fb", "r2", ""), first), "an encoded slash is none");
        assertEquals("200", ask(get("/api/a/b?c=/d", "r3", ""), second));
        assertEquals("200", ask(get("/api/a/b", "r4", "x-CHANNEL: counter\r\n"), first), "names in any case");
        assertEquals("200", ask(get("/api//b", "r5", ""), second), "doubled slashes");
        assertEquals("404", ask(get("/elsewhere", "r6", ""), null));
        assertEquals("400", ask(get("/api/../zero", "r7", ""), null));
        assertEquals("400", ask(get("/api/%2e%2E/zero", "r8", ""), null));
        assertEquals("503", ask(get("/zero", "r9", ""), null));
        assertEquals("503", ask(get("/empty/k", "r10", "").replace("20000", "1500"), null));
    }

    @Test
    void aRequestThatMayHaveRunIsNotRetriedInAnotherPool() throws IOException, InterruptedException {
        assertTrue(operate(pool("one", first, "")
                + pool("two", second, "")
                + route("book", "/api/{key}", "to = \"one\"\nspill = [\"two\"]\n")));
        try (Client client = new Client(listenAddress)) {
            client.send(post("book", "Req-Deadline-Ms: 20000\r\n", "seat 7"));
            FakeUpstream.ReceivedRequest got = first.nextRequest();
            assertEquals("seat 7", new String(got.body(), java.nio.charset.StandardCharsets.UTF_8));
            got.reset();
            assertEquals(502, client.readStatus(), "one clear failure");
        }
        assertTrue(first.isEmpty() && second.isEmpty());
    }

    @Test
    void aHangingPoolFillsUpAndDoesNotAffectOthers() throws Exception {
        assertTrue(operate(pool("one", first, "limit = { kind = \"fixed\", most = 2 }\nconnections = 2\n")
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
            double advice = Double.parseDouble(head.split("Retry-After: ")[1].split("\r\n")[0]);
            assertTrue(advice >= 0.1 && advice <= 1.5, head);
        }
        for (int i = 0; i < 20; i++) {
            assertEquals("200", ask(get("/b/k" + i, "b" + i, ""), second));
        }
        for (Client c : hanging) {
            c.close();
        }
        // The limit is free again once its clients have left.
        await(() -> balancer.loop()
                        .submit(() ->
                                balancer.gateway().router().poolStatus().get(0).inFlight())
                        .get()
                == 0);
        assertEquals("200", ask(get("/a/k", "again", ""), first));
    }

    @Test
    void bodiesOverAPoolsMemoryBudgetAreRejectedUnsent() throws IOException {
        assertTrue(operate(pool("one", first, "memory = \"1KiB\"\n") + route("a", "/api/{key}", "to = \"one\"\n")));
        try (Client client = new Client(listenAddress)) {
            client.send(post("book", "Req-Deadline-Ms: 20000\r\n", "x".repeat(2000)));
            assertEquals(503, client.readStatus());
        }
        assertTrue(first.isEmpty());
    }

    @Test
    void clientRetriesDrawOnTheRetryBudget() throws IOException {
        assertTrue(operate(pool("one", first, "")
                + route(
                        "a",
                        "/api/{key}",
                        "to = \"one\"\nretries = { share = 0, least = \"1/h\", count_clients = true }\n")));
        assertEquals("503", ask(get("/api/k", "r1", "Req-Retry: 1\r\n"), null));
        assertEquals("200", ask(get("/api/k", "r2", ""), first));
    }

    @Test
    void anInvalidOperatorFileChangesNothing() throws IOException {
        assertTrue(operate(pool("one", first, "") + route("a", "/api/{key}", "to = \"one\"\n")));
        assertFalse(operate(pool("one", second, "") + route("a", "/api/{key}", "to = \"oen\"\n")));
        assertEquals("200", ask(get("/api/k", "r1", ""), first));
        synchronized (log) {
            assertTrue(
                    log.contains("operator file: operator.toml:8: no pool 'oen'; did you mean 'one'?"), log::toString);
        }
    }

    /** A pool is renamed back and forth while it holds open requests; each client gets each of its answers. */
    @Test
    void aHundredReplacementsUnderLoadLoseNoRequest() throws Exception {
        AtomicBoolean over = new AtomicBoolean();
        serveAll(first, over);
        serveAll(second, over);
        String[] files = {
            pool("one", first, "") + route("a", "/api/{key}", "to = \"one\"\n"),
            pool("other", first, "")
                    + pool("two", second, "limit = { kind = \"gradient\", start = 50 }\n")
                    + route("a", "/api/{key}", "to = [\"other\", \"two\"]\ndeadline = \"19s\"\n"),
            pool("two", first, "") + route("b", "/api/**", "to = \"two\"\nspill = [\"site\"]\n")
        };
        assertTrue(operate(files[0]));
        AtomicInteger answers = new AtomicInteger();
        List<Future<Integer>> clients = new ArrayList<>();
        for (int c = 0; c < 4; c++) {
            int number = c;
            clients.add(threads.submit((Callable<Integer>) () -> {
                int sent = 0;
                try (Client client = new Client(listenAddress)) {
                    while (!over.get()) {
                        client.send(get("/api/k" + sent % 17, "c" + number + "-" + sent, ""));
                        assertEquals(200, client.readStatus());
                        answers.incrementAndGet();
                        sent++;
                    }
                }
                return sent;
            }));
        }
        for (int i = 1; i <= 100; i++) {
            int before = answers.get();
            assertTrue(operate(files[i % files.length]));
            await(() -> answers.get() > before + 2 || clients.stream().anyMatch(Future::isDone));
        }
        over.set(true);
        int sent = 0;
        for (Future<Integer> c : clients) {
            sent += c.get(20, TimeUnit.SECONDS);
        }
        assertEquals(sent, answers.get());
        assertEquals(100, balancer.gateway().replacements());
        await(() ->
                balancer.loop().submit(() -> balancer.gateway().drainingPools()).get() == 0);
    }

    private void serveAll(FakeUpstream at1, AtomicBoolean over) {
        threads.submit(() -> {
            while (true) {
                at1.nextRequest().respond(200, "", "ok");
            }
        });
    }

    private static void await(Callable<Boolean> holds) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!holds.call()) {
            assertTrue(System.nanoTime() < until, "it never came");
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    @Test
    void operatorsDrainEndpointsOfAnyPool() throws Exception {
        assertTrue(operate(pool("one", first, "") + route("a", "/api/{key}", "to = \"one\"\n")));
        String id = "one/" + first.address();
        assertEquals(
                Map.of(true, id),
                Map.of(
                        balancer.loop()
                                .submit(() -> balancer.operatorActions().drain(id))
                                .get(),
                        id));
        assertEquals("503", ask(get("/api/k", "r1", "").replace("20000", "1500"), null));
        assertTrue(balancer.loop()
                .submit(() -> balancer.operatorActions().restore(id))
                .get());
        assertEquals("200", ask(get("/api/k", "r2", ""), first));
    }
}
