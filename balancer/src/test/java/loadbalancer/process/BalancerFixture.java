package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.LearnedState;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.LoadReport;
import loadbalancer.policy.PolicySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A real balancer over loopback sockets, with a policy that does what the test says. */
public abstract class BalancerFixture {
    /** A policy that notes the events that it gets and sends each request where {@code onRequest} says. */
    public static class ScriptedPolicy implements LoadBalancingPolicy {
        public final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        public final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        public final Map<String, Long> startedAt = new ConcurrentHashMap<>();
        public volatile LearnedState learnedState = LearnedState.NONE;
        public volatile long timeoutMicros;
        public volatile boolean throwsOnRequest;
        public volatile boolean retriesWhenFull;
        public volatile boolean cancelsForGoneClients = true;
        public volatile Runnable onOutcome = () -> {};
        public volatile String endpointId = "s1";
        public volatile LoadBalancingPolicy.Actions actions;

        @Override
        public void endpoints(long now, EndpointListKind kind, List<Endpoint> servers, Actions out) {
            actions = out;
            servers.forEach(s -> startedAt.put(s.id(), s.startedAt()));
            events.add(kind + " "
                    + servers.stream().map(s -> s.id() + "=" + s.state()).toList());
        }

        @Override
        public void request(
                long now,
                String request,
                int requestClass,
                int tenant,
                String key,
                long timeLeft,
                long work,
                boolean clientRetry,
                Actions out) {
            requests.add(requestClass + " " + key + " " + work + " " + clientRetry);
            if (throwsOnRequest) {
                throw new IllegalStateException("broken");
            }
            if (endpointId != null) {
                out.send(request, endpointId, timeoutMicros);
            }
        }

        @Override
        public void outcome(
                long now,
                String request,
                int attempt,
                AttemptOutcome outcome,
                long latency,
                boolean closed,
                LoadReport load,
                Actions out) {
            events.add(outcome + (load == null ? "" : " " + load.inFlight()) + (closed ? " closed" : ""));
            onOutcome.run();
            if (!closed && retriesWhenFull && outcome == AttemptOutcome.FULL) {
                out.send(request, endpointId, timeoutMicros);
            } else if (!closed) {
                out.fail(request);
            }
        }

        @Override
        public void streamStarted(long now, String request, int attempt, Actions out) {}

        @Override
        public void clientGone(long now, String request, Actions out) {
            events.add("client gone");
            if (cancelsForGoneClients) {
                out.cancel(request, 0);
            }
        }

        @Override
        public void probed(
                long now, String server, AttemptOutcome outcome, long latency, LoadReport load, Actions out) {
            events.add("probed " + outcome + " " + (load == null ? "-" : load.inFlight()));
        }

        @Override
        public void reconfigure(long now, PolicySettings settings, int[] classes, int[] tenants) {
            events.add("reconfigured " + Arrays.toString(classes) + " " + Arrays.toString(tenants));
        }

        @Override
        public LearnedState learnedState(long now) {
            return learnedState;
        }

        @Override
        public void restore(long now, LearnedState from) {
            if (from.traffic() != null) {
                events.add("restored arrivals " + from.traffic().arrivals());
            }
        }

        @Override
        public void setSlowStartBudgetFactor(double factor) {
            events.add("slow-start fraction " + factor);
        }

        @Override
        public void wake(long now, Actions out) {}

        public String nextEvent() throws InterruptedException {
            String event = events.poll(20, TimeUnit.SECONDS);
            if (event == null) {
                throw new AssertionError("no event reached the policy");
            }
            return event;
        }
    }

    /** A client's connection. */
    public static final class Client implements Closeable {
        public final Socket socket;
        public final InputStream in;
        public byte[] body;

        public Client(InetSocketAddress to) throws IOException {
            socket = new Socket(to.getAddress(), to.getPort());
            socket.setSoTimeout(20_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        public Client send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            return this;
        }

        /** The head of the next answer; its body is kept. Null at the end of the connection. */
        public String readResponse() throws IOException {
            String head = FakeUpstream.readHead(in);
            if (head != null) {
                String length = head.toLowerCase().split("content-length: ")[1].split("\r\n")[0];
                body = in.readNBytes(Integer.parseInt(length));
            }
            return head;
        }

        public int readStatus() throws IOException {
            return Integer.parseInt(readResponse().split(" ")[1]);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    public static final String IDEMPOTENT_REQUEST =
            "GET /api/k1?x=%20y HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\n"
                    + "Req-Kind: read\r\nReq-Deadline-Ms: 20000\r\nReq-Cost: 700\r\nReq-Retry: 1\r\n\r\n";

    public final ScriptedPolicy policy = new ScriptedPolicy();
    public final List<String> log = new ArrayList<>();
    public boolean warmsUp;
    public String endpointAddress;
    public FakeUpstream upstream;
    public FakeUpstream discovery;
    public BalancerProcess balancer;
    public InetSocketAddress listenAddress;

    @BeforeEach
    public void open() throws IOException {
        upstream = new FakeUpstream();
        discovery = new FakeUpstream();
    }

    @AfterEach
    public void close() throws IOException {
        if (balancer != null) {
            balancer.stop();
        }
        upstream.close();
        discovery.close();
    }

    public static Map<String, Object> kind(String name, String effect) {
        return Map.of(
                "Name",
                name,
                "Idempotency",
                effect,
                "DedupScope",
                "cell",
                "GoalTime",
                600_000,
                "GiveUp",
                30_000_000,
                "KeyTtl",
                1_000_000);
    }

    public static Map<String, Object> rules(long grace) {
        return Map.of(
                "AnswerSlack",
                8_000,
                "DrainGrace",
                grace,
                "AskWithin",
                10_000_000,
                "ColdFrom",
                0.3,
                "RampTime",
                8_400_000,
                "OverloadFactor",
                3.0,
                "Fall",
                1_000_000);
    }

    public static Map<String, Object> settings() {
        Map<String, Object> settings = new HashMap<>();
        settings.put("Balancers", 1);
        settings.put("Classes", List.of(kind("read", "safe"), kind("pay", "keyed"), kind("book", "unsafe")));
        settings.put(
                "Limits",
                new HashMap<>(Map.of(
                        "TryLimit",
                        3,
                        "MayDuplicate",
                        true,
                        "Cancel",
                        true,
                        "Probes",
                        true,
                        "DialTimeout",
                        500_000,
                        "IdleClose",
                        30_000_000)));
        settings.put("MembershipMode", "ask");
        settings.put("Rules", rules(1_000_000));
        settings.put("Quantum", 2_000);
        settings.put("Areas", List.of("podrum"));
        settings.put("Kinds", List.of("puni", "slabi"));
        settings.put("Stats", Map.of("How", "answers", "Fields", List.of("outstanding")));
        return settings;
    }

    public String target(String state) {
        return "{\"uid\":\"s1\",\"endpoint\":\"" + (endpointAddress == null ? upstream.address() : endpointAddress)
                + "\",\"az\":\"podrum\","
                + "\"model\":\"slabi\",\"pod_group\":3,\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    public String list(int rev, boolean all, String state) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + target(state) + "]}\n";
    }

    public BalancerConfig config(int sockets, Map<String, Object> settings, int port) throws IOException {
        return config(sockets, settings, port, discovery.address());
    }

    public BalancerConfig config(int sockets, Map<String, Object> settings, int port, String discovery)
            throws IOException {
        return BalancerConfigReader.read(
                Map.of(),
                Map.of(
                        "name",
                        "n1",
                        "listen",
                        "127.0.0.1:" + port,
                        "admin_addr",
                        "127.0.0.1:0",
                        "discovery",
                        discovery,
                        "seed",
                        "8c1f30d27a5be964",
                        "limits",
                        Map.of("sockets", sockets),
                        "settings",
                        settings,
                        "known",
                        com.fasterxml.jackson.jr.ob.JSON.std.mapFrom(list(41, true, "in_service"))));
    }

    public void start() throws IOException, InterruptedException {
        start(Map.of(), 1024);
    }

    public void start(Map<String, Object> limits, int sockets) throws IOException, InterruptedException {
        start(limits, sockets, "ask");
    }

    public void start(Map<String, Object> limits, int sockets, String membership)
            throws IOException, InterruptedException {
        Map<String, Object> settings = settings();
        settings.put("MembershipMode", membership);
        if (membership.equals("push")) { // with a long grace period the response timeout is seconds long
            settings.put("Rules", rules(8_000_000));
        }
        @SuppressWarnings("unchecked")
        Map<String, Object> all = (Map<String, Object>) settings.get("Limits");
        all.putAll(limits);
        balancer = new BalancerProcess(config(sockets, settings, 0), (s, seed) -> policy, warmsUp, line -> {
            synchronized (log) {
                log.add(line);
            }
        });
        listenAddress = balancer.start();
        assertEquals(membership.equals("ask") ? "CACHED [s1=UP]" : "CACHED []", policy.nextEvent());
    }

    public static String post(String kind, String extra, String body) {
        return "POST /api/k1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\nReq-Kind: " + kind + "\r\n" + extra
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    // The upstream's reader consumes the end of the stream; the socket shows it by rejecting writes.
    public static boolean isClosedSoon(FakeUpstream.ReceivedRequest got) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < until) {
            try {
                got.write("\r\n");
            } catch (IOException e) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    public static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    public void onLoop(Runnable action) {
        balancer.loop().execute(action);
    }
}
