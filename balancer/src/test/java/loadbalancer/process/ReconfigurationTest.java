package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Settings that change while the balancer serves. */
class ReconfigurationTest extends BalancerFixture {
    private static Map<String, Object> with(Map<String, Object> changes) {
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

    private static String get(String kind) {
        return IDEMPOTENT.replace("Req-Kind: read", "Req-Kind: " + kind);
    }

    @Test
    void addedClassesAreServedRemovedOnesAreNotAndOpenRequestsKeepTheirs() throws Exception {
        start();
        try (Client open = new Client(at);
                Client other = new Client(at)) {
            open.send(IDEMPOTENT);
            FakeUpstream.ReceivedRequest got = upstream.next();
            assertEquals("0 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            reload(with(Map.of("Classes", List.of(kind("book", "unsafe"), kind("look", "safe")))));
            assertEquals("reconfigured [2, -1] []", policy.next());
            got.answer(200, "", "of a class that is gone");
            assertEquals(200, open.status());
            other.send(get("look").replace("r1", "r2"));
            assertEquals("1 k1 700 true", policy.requests.poll(20, TimeUnit.SECONDS));
            upstream.next().answer(200, "", "of the new class");
            assertEquals(200, other.status());
            assertEquals(400, open.send(IDEMPOTENT).status());
        }
    }

    @Test
    void anOpenRequestKeepsItsMaxAttempts() throws Exception {
        start();
        policy.retriesWhenFull = true;
        try (Client client = new Client(at)) {
            client.send(IDEMPOTENT);
            FakeUpstream.ReceivedRequest first = upstream.next();
            reload(with(Map.of(
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
            first.answer(503, "Srv-Declined: 1\r\n", "");
            upstream.next().answer(200, "", "second attempt");
            assertEquals(200, client.status());
        }
    }

    @Test
    void anInvalidConfigurationChangesNothing() throws Exception {
        start();
        Map<String, Object> noTries =
                new HashMap<>(Map.of("TryLimit", 0, "MayDuplicate", true, "Cancel", true, "Probes", true));
        Map<String, Object> noDeadline = new HashMap<>(kind("read", "safe"));
        noDeadline.put("GiveUp", -5);
        Map<String, Object> noName = new HashMap<>(kind("look", "safe"));
        noName.remove("Name");
        Map<String, Object> noAim = new HashMap<>(kind("look", "safe"));
        noAim.remove("GoalTime");
        Map<String, Object> noZones = settings();
        noZones.remove("Areas");
        for (Map<String, Object> broken : List.of(
                with(Map.of("Limits", noTries)),
                with(Map.of("Classes", List.of(noDeadline))),
                with(Map.of("Classes", List.of(noName))),
                with(Map.of("Classes", List.of(noAim))),
                with(Map.of("Classes", List.of())),
                noZones)) {
            int lines = log.size();
            reload(broken);
            assertEquals(lines + 1, log.size());
            assertTrue(log.get(lines).startsWith("configuration rejected: "), log.get(lines));
        }
        assertTrue(policy.events.stream().noneMatch(t -> t.startsWith("reconfigured")));
        try (Client client = new Client(at)) {
            client.send(IDEMPOTENT);
            upstream.next().answer(200, "", "as before");
            assertEquals(200, client.status());
        }
    }
}
