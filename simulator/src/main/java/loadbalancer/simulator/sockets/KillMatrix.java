package loadbalancer.simulator.sockets;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.simulator.faultinjection.StreamFault;
import loadbalancer.simulator.faultinjection.StreamFault.FaultType;
import loadbalancer.simulator.faultinjection.StreamFault.Point;

/**
 * Breaks the connection of one request after another at every byte, on the side of the client or of the upstream, and
 * counts how often each ran and what its client got. Each worker has a real balancer, a stand-in endpoint and two
 * servers of faults of its own, and does one thing at a time.
 */
public final class KillMatrix {
    /** Where the fault is, and in which direction. */
    public enum Side {
        CLIENT_UP,
        CLIENT_DOWN,
        UPSTREAM_UP,
        UPSTREAM_DOWN
    }

    /** One cell: a request of a class, broken in a way at a byte; {@code offset} -1 after the last byte. */
    public record Case(String kind, Side side, FaultType what, long offset) {}

    /** What came of it; {@code wrong} is null where every rule held. */
    public record Result(Case of, boolean struck, int ran, Exchange client, String wrong) {}

    private static final List<FaultType> FAULTS =
            List.of(FaultType.CUT, FaultType.HALF_CLOSE, FaultType.RESET, FaultType.SILENCE);
    private static final List<String> HEADER = List.of(
            "class",
            "side",
            "fault",
            "cases",
            "struck",
            "ran 0",
            "ran 1",
            "ran 2+",
            "200",
            "502",
            "503",
            "no answer",
            "slowest ms",
            "wrong");
    private static final int IDS = 8;
    private static final int DEADLINE_MS = 400;
    private static final int SLACK_MS = 20;
    private static final int PATIENCE_MS = 1_000;
    private static final int TRIES = 6; // until a fault meets the request it is meant for
    private static final int CALM = 2; // requests between two cases, so that upstreams are trusted
    private static final long SETTLE_MS = 500;
    private static final long REST_MS = 400;

    private final Path jar;
    private final int every;
    private final AtomicInteger ids = new AtomicInteger();

    /** Against the balancer in {@code jar}, at each {@code every}-th byte. */
    public KillMatrix(Path jar, int every) {
        this.jar = jar;
        this.every = Math.max(1, every);
    }

    /** Whom it tells how far it has come; called on the workers' threads. */
    @FunctionalInterface
    public interface Progress {
        /** The case of number {@code done} of {@code all} has been played. */
        void played(int done, int all);
    }

    /** Plays all cases on so many workers; results are in the order of the cases. */
    public List<Result> run(int workers, Progress progress) throws IOException {
        ExecutorService threads = Executors.newFixedThreadPool(workers);
        List<Worker> all = new ArrayList<>();
        try {
            for (int i = 0; i < workers; i++) {
                all.add(new Worker());
            }
            List<Case> cases = cases(all.get(0));
            AtomicInteger next = new AtomicInteger();
            Played[] played = new Played[cases.size()];
            List<Future<?>> running = new ArrayList<>();
            for (Worker worker : all) {
                running.add(threads.submit(() -> {
                    for (int i = next.getAndIncrement(); i < played.length; i = next.getAndIncrement()) {
                        played[i] = worker.play(cases.get(i));
                        progress.played(i + 1, played.length);
                    }
                }));
            }
            for (Future<?> future : running) {
                future.get();
            }
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS); // what is still on its way runs now, or never
            List<Result> results = new ArrayList<>();
            for (Played p : played) {
                int ran = p.by.box.ran(p.id);
                results.add(new Result(p.of, p.struck, ran, p.client, wrong(p.of, ran, p.client)));
            }
            return results;
        } catch (ExecutionException e) {
            throw new IOException("a worker failed: " + e.getCause(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            threads.shutdownNow();
            all.forEach(KillMatrix::end);
        }
    }

    // Each by itself: one that can't be closed must not leave the balancers of all others running.
    private static void end(Worker worker) {
        try {
            worker.close();
        } catch (IOException | RuntimeException e) {
            System.err.println("a worker didn't end in order: " + e);
        }
    }

    private List<Case> cases(Worker worker) {
        List<Case> cases = new ArrayList<>();
        for (String kind : List.of("seat-lookup", "book-seat")) {
            Map<Side, Long> lengths = worker.lengths(kind);
            for (Side side : Side.values()) {
                for (FaultType what : FAULTS) {
                    // The rest of the sample's step is spread over the faults: together they see more offsets.
                    long from = every == 1 ? 0 : FAULTS.indexOf(what) * every / FAULTS.size();
                    for (long at = from; at < lengths.get(side); at += every) {
                        cases.add(new Case(kind, side, what, at));
                    }
                    cases.add(new Case(kind, side, what, -1));
                }
            }
        }
        return cases;
    }

    private static String request(String kind, String id) {
        boolean book = kind.equals("book-seat");
        String body = book ? "{\"seat\":\"17B\",\"bus\":204}" : "";
        return (book ? "POST" : "GET") + " /api/k" + id.hashCode() % 7 + " HTTP/1.1\r\nHost: h\r\nReq-Id: " + id
                + "\r\nReq-Kind: " + kind + "\r\nReq-Deadline-Ms: " + DEADLINE_MS + "\r\n"
                + (book ? "Content-Length: " + body.length() + "\r\n" : "") + "\r\n" + body;
    }

    private String id() {
        return String.format(Locale.ROOT, "m%07d", ids.incrementAndGet());
    }

    private record Played(Case of, boolean struck, String id, Exchange client, Worker by) {}

    private final class Worker implements AutoCloseable {
        private final NioEventLoopGroup group = new NioEventLoopGroup(1);
        private final StandInEndpoint box =
                new StandInEndpoint(head -> StandInEndpoint.ok("{\"booked\":true,\"at\":\"17B\"}"));
        private final FaultInjectionServer before = new FaultInjectionServer(group.next(), box.address(), List.of());
        private final BalancerChildProcess balancer;
        private final FaultInjectionServer front;
        private final InetSocketAddress entry;

        Worker() throws IOException {
            Map<String, InetSocketAddress> upstreams = new LinkedHashMap<>();
            for (int i = 0; i < IDS; i++) {
                upstreams.put("box-" + i, before.listen(0));
            }
            balancer = new BalancerChildProcess(jar, upstreams);
            front = new FaultInjectionServer(group.next(), balancer.address(), List.of());
            entry = front.listen(0);
            for (int i = 0; i < 4 * IDS; i++) {
                calm();
            }
        }

        private void calm() {
            Exchange.of(entry, request("seat-lookup", id()), PATIENCE_MS);
        }

        private FaultInjectionServer server(Side side) {
            return side == Side.CLIENT_UP || side == Side.CLIENT_DOWN ? front : before;
        }

        private boolean up(Side side) {
            return side == Side.CLIENT_UP || side == Side.UPSTREAM_UP;
        }

        private void rest() {
            try {
                TimeUnit.MILLISECONDS.sleep(REST_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            calm();
        }

        Map<Side, Long> lengths(String kind) {
            int frontConnection = front.connections() + 1;
            int b = before.connections() + 1;
            Exchange exchange = Exchange.of(entry, request(kind, id()), PATIENCE_MS);
            if (exchange.status() != 200) {
                throw new IllegalStateException("a clean request got " + exchange + "; " + balancer.log());
            }
            return Map.of(
                    Side.CLIENT_UP,
                    front.bytes(frontConnection, true),
                    Side.CLIENT_DOWN,
                    front.bytes(frontConnection, false),
                    Side.UPSTREAM_UP,
                    before.bytes(b, true),
                    Side.UPSTREAM_DOWN,
                    before.bytes(b, false));
        }

        Played play(Case testCase) {
            FaultInjectionServer server = server(testCase.side);
            Exchange seen = null;
            String id = null;
            boolean struck = false;
            for (int i = 0; i < TRIES && !struck; i++) {
                if (i > 1) {
                    rest(); // refused while upstreams that failed rest: wait it out
                }
                int number = server.connections() + 1;
                server.forget(number);
                server.script(List.of(new StreamFault(
                        number,
                        number,
                        up(testCase.side),
                        testCase.what,
                        1,
                        testCase.offset < 0 ? Point.END : null,
                        Math.max(0, testCase.offset),
                        0,
                        0)));
                id = id();
                seen = Exchange.of(entry, request(testCase.kind, id), PATIENCE_MS);
                struck = server.struck(number);
                server.script(List.of());
                for (int k = 0; k < CALM; k++) {
                    calm();
                }
            }
            return new Played(testCase, struck, id, seen, this);
        }

        @Override
        public void close() throws IOException {
            balancer.close();
            front.close();
            before.close();
            box.close();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Which rule a result breaks, in words; null where none. */
    static String wrong(Case testCase, int ran, Exchange seen) {
        boolean book = testCase.kind.equals("book-seat");
        boolean upstream = testCase.side == Side.UPSTREAM_UP || testCase.side == Side.UPSTREAM_DOWN;
        if (book && ran > 1) {
            return "ran " + ran + " times";
        }
        if (seen.extra() > 0) {
            return seen.extra() + " bytes behind the answer";
        }
        if (upstream && !(seen.status() == 200 || seen.status() == 502 || seen.status() == 503)) {
            return "its client got " + seen.status() + " (" + seen.end() + ")";
        }
        if (upstream && seen.micros() > (DEADLINE_MS + SLACK_MS) * 1000L) {
            return "answered after " + seen.micros() / 1000 + " ms";
        }
        if (seen.status() == 200 && ran == 0) {
            return "served, and never ran";
        }
        return book && seen.status() == 503 && ran > 0 ? "called harmless to repeat, and ran" : null;
    }

    /** What each class, side and fault came to, a line each: cases, how often they ran, what the clients got. */
    public static List<String[]> table(List<Result> results) {
        Map<String, List<Result>> groups = new LinkedHashMap<>();
        for (Result result : results) {
            groups.computeIfAbsent(
                            result.of.kind + "\n" + word(result.of.side) + "\n" + word(result.of.what),
                            k -> new ArrayList<>())
                    .add(result);
        }
        List<String[]> rows = new ArrayList<>();
        rows.add(HEADER.toArray(String[]::new));
        groups.forEach((name, of) -> {
            String[] key = name.split("\n");
            rows.add(new String[] {
                key[0],
                key[1],
                key[2],
                "" + of.size(),
                count(of, r -> r.struck),
                count(of, r -> r.ran == 0),
                count(of, r -> r.ran == 1),
                count(of, r -> r.ran > 1),
                count(of, r -> r.client.status() == 200),
                count(of, r -> r.client.status() == 502),
                count(of, r -> r.client.status() == 503),
                count(of, r -> r.client.status() == 0),
                ""
                        + of.stream()
                                .filter(r -> r.client.status() != 0)
                                .mapToLong(r -> r.client.micros() / 1000)
                                .max()
                                .orElse(0),
                count(of, r -> r.wrong != null)
            });
        });
        return rows;
    }

    private static String count(List<Result> of, java.util.function.Predicate<Result> which) {
        return Long.toString(of.stream().filter(which).count());
    }

    static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
