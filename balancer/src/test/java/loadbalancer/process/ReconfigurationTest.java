package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Reloads of the settings while the balancer serves. */
class ReconfigurationTest extends BalancerFixture {
    private static Map<String, Object> settingsWith(Map<String, Object> changes) {
        Map<String, Object> settings = settings();
        settings.putAll(changes);
        return settings;
    }

    private void reload(Map<String, Object> settings) throws IOException, InterruptedException {
        balancer.reload(() -> {
            try {
                return config(1024, settings, 0);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        balancer.loop().submit(() -> {}).awaitUninterruptibly(20_000);
    }

    private static String get(String requestClass) {
        return IDEMPOTENT_REQUEST.replace("Req-Kind: read", "Req-Kind: " + requestClass);
    }

    @Test
    void addedClassesAreServedRemovedOnesAreNotAndOpenRequestsKeepTheirClass() throws Exception {
        start();
        try (Client open = new Client(listenAddress);
                Client other = new Client(listenAddress)) {
            open.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest received = upstream.nextRequest();
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            reload(settingsWith(
                    Map.of("Classes", List.of(requestClass("book", "unsafe"), requestClass("look", "safe")))));
            assertEquals("reconfigured [2, -1] []", policy.nextEvent());
            received.respond(200, "", "of a class that is gone");
            assertEquals(200, open.readStatus());
            other.send(get("look").replace("r1", "r2"));
            assertEquals("1 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            upstream.nextRequest().respond(200, "", "of the new class");
            assertEquals(200, other.readStatus());
            assertEquals(400, open.send(IDEMPOTENT_REQUEST).readStatus());
        }
    }

    @Test
    void anOpenRequestKeepsItsMaxAttempts() throws Exception {
        start();
        policy.retriesWhenFull = true;
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeUpstream.ReceivedRequest first = upstream.nextRequest();
            reload(settingsWith(Map.of(
                    "Limits",
                    Map.of(
                            "TryLimit",
                            1,
                            "MayDuplicate",
                            true,
                            "Cancel",
                            true,
                            "Probes",
                            true,
                            "DialTimeout",
                            500_000,
                            "IdleClose",
                            30_000_000))));
            first.respond(503, "Srv-Declined: 1\r\n", "");
            upstream.nextRequest().respond(200, "", "second attempt");
            assertEquals(200, client.readStatus());
        }
    }

    @Test
    void anInvalidConfigurationChangesNothing() throws Exception {
        start();
        Map<String, Object> zeroMaxAttempts =
                new HashMap<>(Map.of("TryLimit", 0, "MayDuplicate", true, "Cancel", true, "Probes", true));
        Map<String, Object> negativeDeadline = new HashMap<>(requestClass("read", "safe"));
        negativeDeadline.put("GiveUp", -5);
        Map<String, Object> missingName = new HashMap<>(requestClass("look", "safe"));
        missingName.remove("Name");
        Map<String, Object> missingLatencyObjective = new HashMap<>(requestClass("look", "safe"));
        missingLatencyObjective.remove("GoalTime");
        Map<String, Object> missingZones = settings();
        missingZones.remove("Areas");
        for (Map<String, Object> invalid : List.of(
                settingsWith(Map.of("Limits", zeroMaxAttempts)),
                settingsWith(Map.of("Classes", List.of(negativeDeadline))),
                settingsWith(Map.of("Classes", List.of(missingName))),
                settingsWith(Map.of("Classes", List.of(missingLatencyObjective))),
                settingsWith(Map.of("Classes", List.of())),
                missingZones)) {
            int lines = log.size();
            reload(invalid);
            assertEquals(lines + 1, log.size());
            assertTrue(log.get(lines).startsWith("configuration rejected: "), log.get(lines));
        }
        assertTrue(policy.events.stream().noneMatch(event -> event.startsWith("reconfigured")));
        try (Client client = new Client(listenAddress)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "as before");
            assertEquals(200, client.readStatus());
        }
    }
}
