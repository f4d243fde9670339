package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.handover.InheritedListener;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.policy.LearnedState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A process replaces another, and both share one listening socket for clients. */
class HandoverParticipantTest extends BalancerFixture {
    // The length of a Unix socket's path is limited, so the directory must have a short path.
    @TempDir
    Path directory;

    private ServerSocketChannel clientListener;
    private BalancerProcess successor;
    private final ScriptedPolicy successorPolicy = new ScriptedPolicy();

    @BeforeEach
    void openListener() throws IOException {
        clientListener = ServerSocketChannel.open(StandardProtocolFamily.INET);
        clientListener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void stopSuccessor() throws IOException {
        if (successor != null) {
            successor.stop();
        }
        clientListener.close();
    }

    private BalancerProcess startProcess(ScriptedPolicy scriptedPolicy) throws IOException, InterruptedException {
        BalancerProcess process = new BalancerProcess(
                config(1024, settings(), 0),
                new BalancerProcess.Platform(clientListener, directory),
                (policySettings, seed) -> scriptedPolicy,
                false,
                line -> {});
        listenAddress = process.start();
        assertEquals("CACHED [s1=UP]", scriptedPolicy.nextEvent());
        assertTrue(process.awaitReady(20_000));
        return process;
    }

    private void awaitHandoverSocket() throws InterruptedException {
        Path socket = directory.resolve("handover.sock");
        while (!Files.exists(socket) || Files.isRegularFile(socket)) { // opened just after readiness
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Test
    void theSuccessorRestoresDrainsAndLearnedState() throws Exception {
        policy.learnedState = new LearnedState(
                new LearnedState.Latencies(null, null),
                null,
                null,
                new LearnedState.Tenants(null, null),
                new LearnedState.Traffic(0.25, 0, 0, 0),
                Map.of(),
                Map.of());
        balancer = startProcess(policy);
        awaitHandoverSocket();
        balancer.loop().submit(() -> balancer.operatorActions().drain("s1")).get(20, TimeUnit.SECONDS);
        assertEquals("LOCAL_OVERRIDE [s1=DRAINING]", policy.nextEvent());
        successor = startProcess(successorPolicy);
        assertEquals("LOCAL_OVERRIDE [s1=DRAINING]", successorPolicy.nextEvent());
        assertEquals("restored arrivals 0.25", successorPolicy.nextEvent());
        assertEquals("slow-start budget factor 0.5", successorPolicy.nextEvent());
        assertEquals("slow-start budget factor 0.5", policy.nextEvent());
        // An operator's call to either process applies to both.
        successor.loop().submit(() -> successor.operatorActions().restore("s1")).get(20, TimeUnit.SECONDS);
        assertEquals("LOCAL_OVERRIDE [s1=UP]", successorPolicy.nextEvent());
        assertEquals("LOCAL_OVERRIDE [s1=UP]", policy.nextEvent());
        balancer.stop();
        balancer = null;
        assertEquals("slow-start budget factor 1.0", successorPolicy.nextEvent());
    }

    private BalancerProcess startProcessWithOperatorFile() throws IOException, InterruptedException {
        BalancerProcess process = new BalancerProcess(
                config(1024, settings(), 0),
                new BalancerProcess.Platform(clientListener, directory),
                JsqDasPolicy::new,
                false,
                line -> {});
        Path file = Files.writeString(
                directory.resolve("operator.toml"),
                "[[pool]]\nname = \"one\"\nupstreams = [\"" + upstream.address() + "\", \"127.0.0.1:9\"]\n");
        assertTrue(process.applyOperatorFile(file, false));
        listenAddress = process.start();
        assertTrue(process.awaitReady(20_000));
        return process;
    }

    @Test
    void theSuccessorRestoresTheDrainsOfOperatorFilePools() throws Exception {
        balancer = startProcessWithOperatorFile();
        awaitHandoverSocket();
        String id = "one/" + upstream.address();
        assertTrue(balancer.loop()
                .submit(() -> balancer.operatorActions().drain(id))
                .get(20, TimeUnit.SECONDS));
        successor = startProcessWithOperatorFile();
        while (endpointsUp(successor) > 1) { // without a warm-up the process is ready before it has the state
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertTrue(balancer.loop()
                .submit(() -> balancer.operatorActions().restore(id))
                .get(20, TimeUnit.SECONDS));
        while (endpointsUp(successor) < 2) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        balancer.stop();
        balancer = null;
    }

    private static int endpointsUp(BalancerProcess process) throws Exception {
        return process.loop()
                .submit(() -> {
                    process.gateway().updatePoolSizes();
                    return process.gateway().router().poolStatus().stream()
                            .filter(pool -> pool.name().equals("one"))
                            .findFirst()
                            .orElseThrow()
                            .endpointsUp();
                })
                .get(20, TimeUnit.SECONDS);
    }

    @Test
    void thePredecessorAnswersOpenRequestsAndAcceptsNoConnections() throws Exception {
        balancer = startProcess(policy);
        awaitHandoverSocket();
        Client open = new Client(listenAddress).send(IDEMPOTENT_REQUEST);
        FakeUpstream.ReceivedRequest received = upstream.nextRequest();
        successor = startProcess(successorPolicy);
        Thread stop = new Thread(balancer::stop);
        stop.start();
        while (balancer.operatorActions().notReadyReason() == null) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        for (int i = 0; i < 5; i++) {
            try (Client client = new Client(listenAddress)) {
                assertEquals(
                        200,
                        client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            }
        }
        received.respond(200, "", "late but whole");
        assertTrue(open.readResponse().startsWith("HTTP/1.1 200"));
        assertNull(open.readResponse());
        stop.join();
        balancer = null;
    }

    /** Guards against a booking that runs twice, as it comes to the other process while the first one has it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anIdThatOneProcessHasSentIsNotSentByTheOther(boolean sentBeforeTheHandover) throws Exception {
        balancer = startProcess(policy);
        awaitHandoverSocket();
        if (!sentBeforeTheHandover) {
            successor = startProcess(successorPolicy);
        }
        String booking = post("book", "Req-Deadline-Ms: 20000\r\n", "one seat");
        try (Client client = new Client(listenAddress).send(booking)) {
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            if (sentBeforeTheHandover) {
                successor = startProcess(successorPolicy);
                assertEquals("LOCAL_OVERRIDE [s1=UP]", successorPolicy.nextEvent());
            }
            boolean atPredecessor = !policy.requests.isEmpty();
            BalancerProcess first = atPredecessor ? balancer : successor;
            Thread stop = new Thread(first::stop); // the other one accepts all connections from now on
            stop.start();
            while (first.operatorActions().notReadyReason() == null) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            try (Client again = new Client(listenAddress).send(booking)) {
                assertEquals(409, again.readStatus());
            }
            received.respond(200, "", "booked");
            assertEquals(200, client.readStatus());
            stop.join();
            balancer = atPredecessor ? null : balancer;
            successor = atPredecessor ? successor : null;
        }
        assertTrue(upstream.isEmpty(), "the booking was sent twice");
    }

    @Test
    void aSocketLeftByADeadProcessIsReplaced() throws Exception {
        Files.writeString(directory.resolve("handover.sock"), "left behind");
        balancer = startProcess(policy);
        awaitHandoverSocket();
        successor = startProcess(successorPolicy); // connects to the new process by the same file name
        assertEquals("LOCAL_OVERRIDE [s1=UP]", successorPolicy.nextEvent());
    }

    @Test
    void aHangingPredecessorTimesOut() throws Exception {
        try (ServerSocketChannel hangingPredecessor = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            hangingPredecessor.bind(UnixDomainSocketAddress.of(directory.resolve("handover.sock")));
            balancer = startProcess(policy);
            try (Client client = new Client(listenAddress)) {
                assertEquals(
                        200,
                        client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            }
        }
    }

    @Test
    void aDescriptorThatIsNotAListenerIsAnError() {
        assertThrows(IOException.class, () -> InheritedListener.find(Map.of("ROUTER_INHERITED_FD", "7")));
    }

    @Test
    void withoutADescriptorThereIsNoInheritedListener() throws IOException {
        assertNull(InheritedListener.find(Map.of()));
    }
}
