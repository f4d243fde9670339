package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Runs a real balancer over loopback sockets, with a policy that the test scripts. */
public abstract class BalancerFixture {
    /** A connection of a client to the balancer. */
    public static final class Client implements Closeable {
        public final Socket socket;
        public final InputStream in;
        public byte[] body;

        public Client(InetSocketAddress address) throws IOException {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout(20_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        public Client send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            return this;
        }

        /**
         * Reads the next response and returns its head; the body is in {@code body}. Returns null at the end of the
         * connection.
         */
        public String readResponse() throws IOException {
            String head = FakeUpstream.readHead(in);
            if (head != null) {
                String length = head.toLowerCase().split("content-length: ")[1].split("\r\n")[0];
                body = in.readNBytes(Integer.parseInt(length));
            }
            return head;
        }

        /** Reads the next response and returns its status. */
        public int readStatus() throws IOException {
            return Integer.parseInt(readResponse().split(" ")[1]);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A GET request of the class "read", with a deadline of 20 s. */
    public static final String IDEMPOTENT_REQUEST =
            "GET /api/k1?x=%20y HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\n"
                    + "Req-Kind: read\r\nReq-Deadline-Ms: 20000\r\nReq-Cost: 700\r\nReq-Retry: 1\r\n\r\n";

    public final ScriptedPolicy policy = new ScriptedPolicy();
    public final List<String> log = new ArrayList<>();
    public boolean warmsUp;
    /** The listed address of endpoint s1; null for the address of {@code upstream}. */
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

    /** Returns the settings of a request class. */
    public static Map<String, Object> requestClass(String name, String idempotency) {
        return Map.of(
                "Name",
                name,
                "Idempotency",
                idempotency,
                "DedupScope",
                "cell",
                "GoalTime",
                600_000,
                "GiveUp",
                30_000_000,
                "KeyTtl",
                1_000_000);
    }

    /** Returns the rules of the site, with the given drain grace period. */
    public static Map<String, Object> siteRules(long drainGracePeriodMicros) {
        return Map.of(
                "AnswerSlack",
                8_000,
                "DrainGrace",
                drainGracePeriodMicros,
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
        settings.put(
                "Classes",
                List.of(requestClass("read", "safe"), requestClass("pay", "keyed"), requestClass("book", "unsafe")));
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
        settings.put("Rules", siteRules(1_000_000));
        settings.put("Quantum", 2_000);
        settings.put("Areas", List.of("podrum"));
        settings.put("Kinds", List.of("puni", "slabi"));
        settings.put("Stats", Map.of("How", "answers", "Fields", List.of("outstanding")));
        return settings;
    }

    /** Returns the JSON of endpoint s1, as discovery lists it. */
    public String endpointEntry(String state) {
        return "{\"uid\":\"s1\",\"endpoint\":\"" + (endpointAddress == null ? upstream.address() : endpointAddress)
                + "\",\"az\":\"podrum\","
                + "\"model\":\"slabi\",\"pod_group\":3,\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    /** Returns the JSON of a list with endpoint s1: a snapshot if {@code all} is true, else a delta. */
    public String endpointList(int rev, boolean all, String state) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + endpointEntry(state) + "]}\n";
    }

    public BalancerConfig config(int maxDescriptors, Map<String, Object> settings, int port) throws IOException {
        return config(maxDescriptors, settings, port, discovery.address());
    }

    public BalancerConfig config(int maxDescriptors, Map<String, Object> settings, int port, String discoveryAddress)
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
                        discoveryAddress,
                        "seed",
                        "8c1f30d27a5be964",
                        "limits",
                        Map.of("sockets", maxDescriptors),
                        "settings",
                        settings,
                        "known",
                        com.fasterxml.jackson.jr.ob.JSON.std.mapFrom(endpointList(41, true, "in_service"))));
    }

    public void start() throws IOException, InterruptedException {
        start(Map.of(), 1024);
    }

    public void start(Map<String, Object> limits, int maxDescriptors) throws IOException, InterruptedException {
        start(limits, maxDescriptors, "ask");
    }

    public void start(Map<String, Object> limits, int maxDescriptors, String membershipMode)
            throws IOException, InterruptedException {
        Map<String, Object> settings = settings();
        settings.put("MembershipMode", membershipMode);
        if (membershipMode.equals("push")) { // a long grace period makes the response time-out seconds long
            settings.put("Rules", siteRules(8_000_000));
        }
        @SuppressWarnings("unchecked")
        Map<String, Object> limitSettings = (Map<String, Object>) settings.get("Limits");
        limitSettings.putAll(limits);
        balancer = new BalancerProcess(
                config(maxDescriptors, settings, 0), (policySettings, seed) -> policy, warmsUp, line -> {
                    synchronized (log) {
                        log.add(line);
                    }
                });
        listenAddress = balancer.start();
        assertEquals(membershipMode.equals("ask") ? "CACHED [s1=UP]" : "CACHED []", policy.nextEvent());
    }

    /** Returns a POST request of a class, with further header lines. */
    public static String post(String requestClass, String headers, String body) {
        return "POST /api/k1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\nReq-Kind: " + requestClass + "\r\n"
                + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /**
     * Waits until the balancer has closed the connection of a request. The upstream's reader consumes the end of the
     * stream, so the test detects it by a write that fails.
     */
    public static boolean isClosedSoon(FakeUpstream.ReceivedRequest received) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < deadline) {
            try {
                received.write("\r\n");
            } catch (IOException e) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    /** Returns a chunk of a chunked body. */
    public static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Reads a chunked body up to its end. */
    public static byte[] readChunkedBody(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            StringBuilder size = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    throw new IOException("the connection ended within the body");
                }
                size.append((char) c);
            }
            int bytes = Integer.parseInt(size.toString().strip(), 16);
            body.write(in.readNBytes(bytes));
            in.readNBytes(2);
            if (bytes == 0) {
                return body.toByteArray();
            }
        }
    }

    /** Runs an action on the balancer's event loop, without waiting for it. */
    public void onLoop(Runnable action) {
        balancer.loop().execute(action);
    }
}
