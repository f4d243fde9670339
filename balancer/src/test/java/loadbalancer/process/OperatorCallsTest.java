package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.discovery.DiscoveryFormat;
import loadbalancer.discovery.EndpointList;
import loadbalancer.policy.EndpointListKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Operators' commands, and their effect on an endpoint that is drained or restored. */
class OperatorCallsTest extends BalancerFixture {
    private InetSocketAddress operatorAddress;

    private void startWithOperators() throws IOException, InterruptedException {
        start();
        operatorAddress = balancer.listenForOperators();
    }

    private String call(String line) throws IOException {
        try (Socket socket = new Socket(operatorAddress.getAddress(), operatorAddress.getPort())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(line.getBytes(StandardCharsets.UTF_8));
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            String reply = in.readLine();
            assertNull(in.readLine()); // one line, and then the end of the connection
            return reply;
        }
    }

    @ParameterizedTest
    @CsvSource({
        "check,ACK",
        "check now,NAK",
        "set-down s1,ACK",
        "set-down s2,NAK",
        "set-down,NAK",
        "set-down s1 s1,NAK",
        "set-up s1,ACK",
        "set-up s2,NAK",
        "set-up,NAK",
        "CHECK,NAK",
        "reload,NAK",
        "'',NAK"
    })
    void eachCommandGetsOneReplyLine(String line, String reply) throws IOException, InterruptedException {
        startWithOperators();
        assertTrue(call(line + "\r\n").startsWith(reply + " "), line);
    }

    @Test
    void aTooLongLineIsRejected() throws IOException, InterruptedException {
        startWithOperators();
        assertTrue(call("x".repeat(2_000)).startsWith("NAK "));
        assertTrue(call("set-down " + "s".repeat(100_000) + "\n").startsWith("NAK "));
    }

    @Test
    void aDrainedEndpointStaysDrainedWhateverDiscoveryListsAndIsRestoredCold()
            throws IOException, InterruptedException {
        startWithOperators();
        call("set-down s1\n");
        assertEquals("LOCAL_OVERRIDE [s1=DRAINING]", policy.nextEvent());
        call("set-down s1\n"); // repeating it changes nothing
        EndpointList sameList = DiscoveryFormat.read(
                JSON.std.anyFrom(endpointList(42, true, "in_service")),
                config(1024, settings(), 0).boot());
        onLoop(() -> balancer.endpointsListed(EndpointListKind.SNAPSHOT, sameList));
        assertEquals("SNAPSHOT [s1=DRAINING]", policy.nextEvent());
        long beforeMicros = System.currentTimeMillis() * 1000;
        call("set-up s1\n");
        assertEquals("LOCAL_OVERRIDE [s1=UP]", policy.nextEvent());
        // The balancer's monotonic clock is set once, from a clock with a resolution of 1 ms; the test allows for 1 s.
        assertTrue(policy.startedAt.get("s1") >= beforeMicros - 1_000_000);
        long restoredAtMicros = policy.startedAt.get("s1");
        onLoop(() -> balancer.endpointsListed(EndpointListKind.SNAPSHOT, sameList));
        assertEquals("SNAPSHOT [s1=UP]", policy.nextEvent());
        // It counts as started only once, so it is not cold again.
        assertEquals(restoredAtMicros, policy.startedAt.get("s1"));
        call("set-up s1\n");
        assertTrue(policy.events.isEmpty());
    }

    @Test
    void aDrainedEndpointStaysKnownWhileDiscoveryDoesNotListIt() throws IOException, InterruptedException {
        startWithOperators();
        call("set-down s1\n");
        EndpointList emptyList = DiscoveryFormat.read(
                JSON.std.anyFrom("{\"rev\":42,\"all\":true,\"targets\":[]}"),
                config(1024, settings(), 0).boot());
        onLoop(() -> balancer.endpointsListed(EndpointListKind.SNAPSHOT, emptyList));
        assertTrue(call("set-down s1\n").startsWith("ACK "));
        assertTrue(call("set-up s1\n").startsWith("ACK "));
        assertTrue(call("set-up s1\n").startsWith("NAK ")); // it is neither listed nor drained any more
    }

    @Test
    void silentCallersDoNotBlockOthers() throws IOException, InterruptedException {
        startWithOperators();
        List<Socket> silentCallers = new ArrayList<>();
        try {
            for (int i = 0; i < 200; i++) {
                Socket socket = new Socket(operatorAddress.getAddress(), operatorAddress.getPort());
                socket.getOutputStream().write("che".getBytes(StandardCharsets.UTF_8));
                silentCallers.add(socket);
            }
            long sentAtNanos = System.nanoTime();
            assertEquals("ACK ready", call("check\n"));
            assertTrue(System.nanoTime() - sentAtNanos < 1_000_000_000L);
        } finally {
            for (Socket socket : silentCallers) {
                socket.close();
            }
        }
    }

    @Test
    void checkIsRejectedUntilTheWarmUpHasEnded() throws IOException, InterruptedException {
        BalancerConfig config = config(1024, settings(), 0);
        balancer = new BalancerProcess(config, (policySettings, seed) -> policy, true, log::add);
        operatorAddress = balancer.listenForOperators();
        assertTrue(call("check\n").startsWith("NAK "));
        listenAddress = balancer.start();
        assertTrue(balancer.awaitReady(20_000));
        assertEquals("ACK ready", call("check\n"));
    }

    @Test
    void theAdminAddressComesFromTheEnvironmentOrTheFileAndAnInvalidOneIsAnError() throws IOException {
        Map<String, Object> json = new HashMap<>(Map.of(
                "name",
                "n1",
                "listen",
                "127.0.0.1:0",
                "discovery",
                "127.0.0.1:1",
                "seed",
                "1",
                "settings",
                settings()));
        assertNull(BalancerConfigReader.read(Map.of(), json).admin());
        json.put("admin_addr", "127.0.0.1:9600");
        assertEquals(9600, BalancerConfigReader.read(Map.of(), json).admin().getPort());
        assertEquals(
                9601,
                BalancerConfigReader.read(Map.of("ROUTER_ADMIN_ADDR", "127.0.0.1:9601"), json)
                        .admin()
                        .getPort());
        json.put("admin_addr", "somewhere");
        ProcessConfigException error =
                assertThrows(ProcessConfigException.class, () -> BalancerConfigReader.read(Map.of(), json));
        assertTrue(error.getMessage().startsWith("admin_addr: "), error.getMessage());
    }
}
