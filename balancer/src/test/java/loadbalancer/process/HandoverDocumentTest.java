package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.LearnedState;
import loadbalancer.policy.LearnedStateCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compares the messages on the handover link with those recorded from processes of commit b49d7fe. An older release may
 * replace a newer one and the reverse, so neither the words nor the fields of the messages may change.
 */
class HandoverDocumentTest extends BalancerFixture {
    /** A policy that stores the state that it is given, and returns it unchanged. */
    private static final class StateKeepingPolicy extends ScriptedPolicy {
        private final Map<String, Endpoint> endpoints = new ConcurrentHashMap<>();

        @Override
        public void endpoints(long now, EndpointListKind kind, List<Endpoint> listed, Actions actions) {
            listed.forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
            super.endpoints(now, kind, listed, actions);
        }

        @Override
        public void restore(long now, LearnedState restored) {
            learnedState = restored;
        }
    }

    /**
     * The other process of a handover. Records each line that it receives, except the periodic counts of descriptors.
     */
    private static final class Peer implements Closeable {
        private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        private final SocketChannel channel;

        Peer(SocketChannel channel) {
            this.channel = channel;
            Thread reader = new Thread(this::read);
            reader.setDaemon(true);
            reader.start();
        }

        private void read() {
            try (BufferedReader in = new BufferedReader(
                    new InputStreamReader(Channels.newInputStream(channel), StandardCharsets.UTF_8))) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    if (!line.startsWith("{\"open\":")) {
                        lines.add(line);
                    }
                }
            } catch (IOException e) {
                lines.add("closed");
            }
        }

        void send(String line) throws IOException {
            ByteBuffer bytes = StandardCharsets.UTF_8.encode(line + "\n");
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }

        String nextLine() throws InterruptedException {
            return lines.poll(20, TimeUnit.SECONDS);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }

    @TempDir
    Path directory;

    private ServerSocketChannel clientListener;
    private ServerSocketChannel predecessorListener;
    private Peer predecessor;
    private final List<StateKeepingPolicy> policies = new ArrayList<>();

    @BeforeEach
    void openSockets() throws IOException {
        clientListener = ServerSocketChannel.open(StandardProtocolFamily.INET);
        clientListener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        predecessorListener = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        predecessorListener.bind(UnixDomainSocketAddress.of(directory.resolve("handover.sock")));
    }

    @AfterEach
    void closeSockets() throws IOException {
        if (predecessor != null) {
            predecessor.close();
        }
        predecessorListener.close();
        clientListener.close();
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = HandoverDocumentTest.class.getResourceAsStream("/handover/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).strip();
        }
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    /** Starts a process whose predecessor is played by the test; returns once it is connected to it and ready. */
    private void startSuccessor() throws IOException, InterruptedException {
        balancer = new BalancerProcess(
                config(1024, settings(), 0),
                new BalancerProcess.Platform(clientListener, directory),
                (policySettings, seed) -> {
                    StateKeepingPolicy policy = new StateKeepingPolicy();
                    policies.add(policy);
                    return policy;
                },
                false,
                line -> {});
        Path file = Files.writeString(
                directory.resolve("operator.toml"),
                "[[pool]]\nname = \"one\"\nupstreams = [\"127.0.0.1:18201\", \"127.0.0.1:18202\"]\n");
        assertTrue(balancer.applyOperatorFile(file, false));
        listenAddress = balancer.start();
        predecessor = new Peer(predecessorListener.accept());
        assertTrue(balancer.awaitReady(20_000));
    }

    private void restoreRecordedState() throws Exception {
        startSuccessor();
        // Without a warm-up the process is ready before it asks for the state.
        assertEquals("{\"serving\":true}", predecessor.nextLine());
        assertEquals("{\"want\":\"state\"}", predecessor.nextLine());
        predecessor.send(resource("recorded-state.json"));
        // s1 is not drained, so this changes nothing; it is handled after the state.
        predecessor.send("{\"up\":\"s1\"}");
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (policies.get(1).learnedState == LearnedState.NONE && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        balancer.loop().submit(() -> {}).get(20, TimeUnit.SECONDS);
    }

    private static void assertLearned(Map<String, Object> recorded, LearnedState state) {
        Map<String, double[]> learned = LearnedStateCodec.encode(state);
        assertEquals(recorded.keySet(), learned.keySet());
        recorded.forEach((name, values) -> assertArrayEquals(
                ((List<?>) values)
                        .stream()
                                .mapToDouble(value -> ((Number) value).doubleValue())
                                .toArray(),
                learned.get(name),
                0,
                name));
    }

    @Test
    void aSuccessorRestoresEveryValueOfTheRecordedDocument() throws Exception {
        restoreRecordedState();
        Map<String, Object> state =
                object(JSON.std.mapFrom(resource("recorded-state.json")).get("state"));
        long restoredAt = ((Number) object(state.get("back")).get("s1")).longValue();
        assertEquals(
                Map.of(
                        "s1", new Endpoint("s1", EndpointState.UP, restoredAt, 1.5, 3, 0, 0),
                        "s2", new Endpoint("s2", EndpointState.DRAINING, 120_500, 1.5, 3, 1, 0),
                        "s3", new Endpoint("s3", EndpointState.UP, 120_500, 1.5, 3, 1, 0),
                        "s4", new Endpoint("s4", EndpointState.UP, 120_500, 1.5, 3, 0, 0),
                        "s5", new Endpoint("s5", EndpointState.DRAINING, 120_500, 1.5, 3, 0, 0)),
                policies.get(0).endpoints);
        assertLearned(object(state.get("learnt")), policies.get(0).learnedState);
        assertEquals(
                Map.of(
                        "one/127.0.0.1:18201",
                        new Endpoint("one/127.0.0.1:18201", EndpointState.UP, 0, 1, -1, -1, 0),
                        "one/127.0.0.1:18202",
                        new Endpoint("one/127.0.0.1:18202", EndpointState.DRAINING, 0, 1, -1, -1, 0)),
                policies.get(1).endpoints);
        Map<String, Object> pool = object(object(state.get("pools")).get("one"));
        assertLearned(object(pool.get("learnt")), policies.get(1).learnedState);
    }

    @Test
    void aProcessSendsTheRecordedDocumentForTheRecordedState() throws Exception {
        restoreRecordedState();
        Path socket = directory.resolve("handover.sock");
        predecessor.close();
        predecessorListener.close();
        try (Peer successor = new Peer(connect(socket))) {
            successor.send("{\"want\":\"state\"}");
            assertEquals(JSON.std.mapFrom(resource("recorded-state.json")), JSON.std.mapFrom(successor.nextLine()));
        }
    }

    // The process renames its own socket to this name once it listens, which is just after it is ready.
    private static SocketChannel connect(Path socket) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (true) {
            try {
                return SocketChannel.open(UnixDomainSocketAddress.of(socket));
            } catch (IOException e) {
                if (System.nanoTime() > deadline) {
                    throw e;
                }
                TimeUnit.MILLISECONDS.sleep(5);
            }
        }
    }

    @Test
    void theOtherMessagesAreTheRecordedOnes() throws Exception {
        Map<String, Object> recorded = JSON.std.mapFrom(resource("recorded-messages.json"));
        startSuccessor();
        List<String> sent = new ArrayList<>();
        sent.add(predecessor.nextLine());
        sent.add(predecessor.nextLine());
        predecessor.send(resource("recorded-state.json"));
        balancer.loop().submit(() -> balancer.operatorActions().drain("s1")).get(20, TimeUnit.SECONDS);
        sent.add(predecessor.nextLine());
        balancer.loop().submit(() -> balancer.operatorActions().restore("s1")).get(20, TimeUnit.SECONDS);
        sent.add(predecessor.nextLine());
        List<?> expected = ((List<?>) recorded.get("successor"))
                .stream()
                        .filter(line -> !line.toString().startsWith("{\"open\":"))
                        .toList();
        assertEquals(expected, sent);
    }

    @Test
    void theRecordedMessagesOfAPredecessorAreCarriedOut() throws Exception {
        Map<String, Object> recorded = JSON.std.mapFrom(resource("recorded-messages.json"));
        restoreRecordedState();
        for (Object line : (List<?>) recorded.get("predecessor")) {
            predecessor.send(line.toString());
        }
        predecessor.send("{\"up\":\"s2\"}");
        while (policies.get(0).endpoints.get("s2").state() != EndpointState.UP) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        Endpoint restored = policies.get(0).endpoints.get("s1");
        assertEquals(EndpointState.UP, restored.state());
        long recordedAt = ((Number) object(object(JSON.std
                                        .mapFrom(resource("recorded-state.json"))
                                        .get("state"))
                                .get("back"))
                        .get("s1"))
                .longValue();
        assertTrue(restored.startedAt() > recordedAt, "s1 was not restored again");
        assertEquals(
                EndpointState.DRAINING,
                policies.get(1).endpoints.get("one/127.0.0.1:18202").state());
    }
}
