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

/** A process that replaces another, with one listening socket for clients between them. */
class HandoverParticipantTest extends BalancerFixture {
    // Not @TempDir's usual place alone: a Unix socket's path is short.
    @TempDir
    Path folder;

    private ServerSocketChannel shared;
    private BalancerProcess successor;
    private final ScriptedPolicy next = new ScriptedPolicy();

    @BeforeEach
    void share() throws IOException {
        shared = ServerSocketChannel.open(StandardProtocolFamily.INET);
        shared.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void endBoth() throws IOException {
        if (successor != null) {
            successor.stop();
        }
        shared.close();
    }

    private BalancerProcess process(ScriptedPolicy with) throws IOException, InterruptedException {
        BalancerProcess process = new BalancerProcess(
                config(1024, settings(), 0),
                new BalancerProcess.Platform(shared, folder),
                (s, seed) -> with,
                false,
                line -> {});
        listenAddress = process.start();
        assertEquals("CACHED [s1=UP]", with.nextEvent());
        assertTrue(process.awaitReady(20_000));
        return process;
    }

    private void awaitOffer() throws InterruptedException {
        Path socket = folder.resolve("handover.sock");
        while (!Files.exists(socket) || Files.isRegularFile(socket)) { // a process offers just after it is ready
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
        balancer = process(policy);
        awaitOffer();
        balancer.loop().submit(() -> balancer.operatorActions().drain("s1")).get(20, TimeUnit.SECONDS);
        assertEquals("LOCAL_OVERRIDE [s1=DRAINING]", policy.nextEvent());
        successor = process(next);
        assertEquals("LOCAL_OVERRIDE [s1=DRAINING]", next.nextEvent());
        assertEquals("restored arrivals 0.25", next.nextEvent());
        assertEquals("slow-start fraction 0.5", next.nextEvent());
        assertEquals("slow-start fraction 0.5", policy.nextEvent());
        // A call to either of them holds for both.
        successor.loop().submit(() -> successor.operatorActions().restore("s1")).get(20, TimeUnit.SECONDS);
        assertEquals("LOCAL_OVERRIDE [s1=UP]", next.nextEvent());
        assertEquals("LOCAL_OVERRIDE [s1=UP]", policy.nextEvent());
        balancer.stop();
        balancer = null;
        assertEquals("slow-start fraction 1.0", next.nextEvent());
    }

    private BalancerProcess withPools() throws IOException, InterruptedException {
        BalancerProcess process = new BalancerProcess(
                config(1024, settings(), 0),
                new BalancerProcess.Platform(shared, folder),
                JsqDasPolicy::new,
                false,
                line -> {});
        Path file = Files.writeString(
                folder.resolve("operator.toml"),
                "[[pool]]\nname = \"one\"\nupstreams = [\"" + upstream.address() + "\", \"127.0.0.1:9\"]\n");
        assertTrue(process.applyOperatorFile(file, false));
        listenAddress = process.start();
        assertTrue(process.awaitReady(20_000));
        return process;
    }

    @Test
    void theSuccessorRestoresTheDrainsOfFurtherPools() throws Exception {
        balancer = withPools();
        awaitOffer();
        String id = "one/" + upstream.address();
        assertTrue(balancer.loop()
                .submit(() -> balancer.operatorActions().drain(id))
                .get(20, TimeUnit.SECONDS));
        successor = withPools();
        while (upOf(successor) > 1) { // ready at once here, as there is no warm-up
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertTrue(balancer.loop()
                .submit(() -> balancer.operatorActions().restore(id))
                .get(20, TimeUnit.SECONDS));
        while (upOf(successor) < 2) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        balancer.stop();
        balancer = null;
    }

    private static int upOf(BalancerProcess process) throws Exception {
        return process.loop()
                .submit(() -> {
                    process.gateway().updatePoolSizes();
                    return process.gateway().router().poolStatus().stream()
                            .filter(p -> p.name().equals("one"))
                            .findFirst()
                            .orElseThrow()
                            .endpointsUp();
                })
                .get(20, TimeUnit.SECONDS);
    }

    @Test
    void thePredecessorAnswersOpenRequestsAndAcceptsNoConnections() throws Exception {
        balancer = process(policy);
        awaitOffer();
        Client held = new Client(listenAddress).send(IDEMPOTENT_REQUEST);
        FakeUpstream.ReceivedRequest got = upstream.nextRequest();
        successor = process(next);
        Thread stop = new Thread(balancer::stop);
        stop.start();
        while (balancer.operatorActions().unreadiness() == null) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        for (int i = 0; i < 5; i++) {
            try (Client client = new Client(listenAddress)) {
                assertEquals(
                        200,
                        client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            }
        }
        got.respond(200, "", "late but whole");
        assertTrue(held.readResponse().startsWith("HTTP/1.1 200"));
        assertNull(held.readResponse());
        stop.join();
        balancer = null;
    }

    @Test
    void aSocketLeftByADeadProcessIsReplaced() throws Exception {
        Files.writeString(folder.resolve("handover.sock"), "left behind");
        balancer = process(policy);
        awaitOffer();
        successor = process(next); // the name leads to the new process
        assertEquals("LOCAL_OVERRIDE [s1=UP]", next.nextEvent());
    }

    @Test
    void aHangingPredecessorTimesOut() throws Exception {
        try (ServerSocketChannel hung = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            hung.bind(UnixDomainSocketAddress.of(folder.resolve("handover.sock")));
            balancer = process(policy);
            try (Client client = new Client(listenAddress)) {
                assertEquals(
                        200,
                        client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            }
        }
    }

    @Test
    void aDescriptorThatIsNoListenerIsAnError() {
        assertThrows(IOException.class, () -> InheritedListener.find(Map.of("ROUTER_INHERITED_FD", "7")));
    }

    @Test
    void withoutADescriptorThereIsNoInheritedListener() throws IOException {
        assertNull(InheritedListener.find(Map.of()));
    }
}
