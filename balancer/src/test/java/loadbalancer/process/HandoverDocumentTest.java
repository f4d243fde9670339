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
 * What processes say to each other over the handover link, against what processes of commit b49d7fe were recorded to
 * say: releases replace each other in both directions, so neither the words nor the fields may change.
 */
class HandoverDocumentTest extends BalancerFixture {
    /** Keeps the state that it is given, and returns it unchanged. */
    private static final class Keeping extends ScriptedPolicy {
        private final Map<String, Endpoint> endpoints = new ConcurrentHashMap<>();

        @Override
        public void endpoints(long now, EndpointListKind kind, List<Endpoint> servers, Actions out) {
            servers.forEach(s -> endpoints.put(s.id(), s));
            super.endpoints(now, kind, servers, out);
        }

        @Override
        public void restore(long now, LearnedState from) {
            learnedState = from;
        }
    }

    /** The other process of a handover: records each line that it gets, save the repeated counts of descriptors. */
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
    Path folder;

    private ServerSocketChannel clients;
    private ServerSocketChannel predecessorSocket;
    private Peer predecessor;
    private final List<Keeping> policies = new ArrayList<>();

    @BeforeEach
    void openSockets() throws IOException {
        clients = ServerSocketChannel.open(StandardProtocolFamily.INET);
        clients.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        predecessorSocket = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        predecessorSocket.bind(UnixDomainSocketAddress.of(folder.resolve("handover.sock")));
    }

    @AfterEach
    void closeSockets() throws IOException {
        if (predecessor != null) {
            predecessor.close();
        }
        predecessorSocket.close();
        clients.close();
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

    /** Starts a process in place of a stand-in for the recorded one; both are joined when this returns. */
    private void startSuccessor() throws IOException, InterruptedException {
        balancer = new BalancerProcess(
                config(1024, settings(), 0),
                new BalancerProcess.Platform(clients, folder),
                (s, seed) -> {
                    Keeping policy = new Keeping();
                    policies.add(policy);
                    return policy;
                },
                false,
                line -> {});
        Path file = Files.writeString(
                folder.resolve("operator.toml"),
                "[[pool]]\nname = \"one\"\nupstreams = [\"127.0.0.1:18201\", \"127.0.0.1:18202\"]\n");
        assertTrue(balancer.applyOperatorFile(file, false));
        listenAddress = balancer.start();
        predecessor = new Peer(predecessorSocket.accept());
        assertTrue(balancer.awaitReady(20_000));
    }

    private void restoreRecordedState() throws Exception {
        startSuccessor();
        assertEquals("{\"serving\":true}", predecessor.nextLine()); // ready before it asks, as there is no warm-up
        assertEquals("{\"want\":\"state\"}", predecessor.nextLine());
        predecessor.send(resource("recorded-state.json"));
        predecessor.send("{\"up\":\"s1\"}"); // not drained: changes nothing, and ends after the state has been read
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (policies.get(1).learnedState == LearnedState.NONE && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        balancer.loop().submit(() -> {}).get(20, TimeUnit.SECONDS);
    }

    private static void assertLearned(Map<String, Object> recorded, LearnedState state) {
        Map<String, double[]> learned = LearnedStateCodec.encode(state);
        assertEquals(recorded.keySet(), learned.keySet());
        recorded.forEach((name, figures) -> assertArrayEquals(
                ((List<?>) figures)
                        .stream().mapToDouble(f -> ((Number) f).doubleValue()).toArray(),
                learned.get(name),
                0,
                name));
    }

    @Test
    void aSuccessorRestoresEveryFigureOfTheRecordedDocument() throws Exception {
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
        Path socket = folder.resolve("handover.sock");
        predecessor.close();
        predecessorSocket.close();
        try (Peer successor = new Peer(connect(socket))) {
            successor.send("{\"want\":\"state\"}");
            assertEquals(JSON.std.mapFrom(resource("recorded-state.json")), JSON.std.mapFrom(successor.nextLine()));
        }
    }

    // The name is moved to the process's own socket once that listens, which is just after it is ready.
    private static SocketChannel connect(Path socket) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (true) {
            try {
                return SocketChannel.open(UnixDomainSocketAddress.of(socket));
            } catch (IOException e) {
                if (System.nanoTime() > until) {
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
                .stream().filter(l -> !l.toString().startsWith("{\"open\":")).toList();
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
        assertTrue(restored.startedAt() > recordedAt, "restored anew");
        assertEquals(
                EndpointState.DRAINING,
                policies.get(1).endpoints.get("one/127.0.0.1:18202").state());
    }
}
