package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests over how many endpoints the requests of a key are spread. */
class KeyAffinityTest {
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);

    @Test
    void aHotKeyGetsMoreEndpointsThanAColdOne() {
        PolicySettings base = Harness.settings(IDEMPOTENT);
        Harness harness = new Harness(Harness.settings(base, 1, 0, true, true), 3)
                .list(EndpointListKind.CACHED, Harness.fleet(20));
        for (int i = 0; i < 600; i++) {
            Harness.Sent sent = harness.requestWithKey("r" + i, 0, i % 2 == 0 ? "hot" : "k" + i % 75);
            harness.advance(10_000);
            harness.sends.stream()
                    .filter(attempt -> !attempt.ended && harness.now - attempt.sentAt >= 60_000)
                    .toList()
                    .forEach(attempt -> harness.end(attempt, AttemptOutcome.OK));
            assertTrue(sent != null);
        }
        long hot = endpointCount(harness, 0, 2);
        long cold = endpointCount(harness, 3, 150); // an odd request, as the even ones have the hot key
        assertTrue(hot >= 8 && cold <= 3, "endpoints of the hot key: " + hot + ", of the cold key: " + cold);
    }

    @Test
    void aHotKeyAddsLittleToTheLoadOfEachOfItsEndpoints() {
        PolicySettings base = Harness.settings(IDEMPOTENT);
        Harness harness = new Harness(Harness.settings(base, 100, 0, true, true), 3)
                .list(EndpointListKind.CACHED, Harness.fleet(60));
        for (int i = 0; i < 600; i++) { // ten per second, one in twelve with the hot key
            Harness.Sent sent = harness.requestWithKey("r" + i, 0, i % 12 == 0 ? "hot" : "k" + i % 75);
            harness.advance(60_000);
            harness.end(sent, AttemptOutcome.OK);
            harness.advance(40_000);
        }
        long hot = endpointCount(harness, 0, 12);
        assertTrue(hot >= 9, "a key with a twelfth of the traffic is on " + hot + " of 60 endpoints");
    }

    @Test
    void balancersWithLittleTrafficSendAKeyToTheSameFewEndpoints() {
        PolicySettings base = Harness.settings(IDEMPOTENT);
        Set<String> used = new HashSet<>();
        for (int rank = 0; rank < 100; rank++) {
            Harness harness = new Harness(Harness.settings(base, 100, rank, true, true), 3 + rank)
                    .list(EndpointListKind.CACHED, Harness.fleet(60));
            Harness.Sent sent = harness.requestWithKey("r" + rank, 0, "key");
            harness.advance(30_000);
            harness.end(sent, AttemptOutcome.OK);
            used.add(sent.endpoint);
        }
        assertTrue(used.size() <= 3, "one key went to " + used.size() + " endpoints");
    }

    /** The number of endpoints that were sent the requests whose number leaves that remainder when divided by step. */
    private static long endpointCount(Harness harness, int remainder, int step) {
        return harness.sends.stream()
                .filter(attempt -> Integer.parseInt(attempt.request.substring(1)) % step == remainder)
                .map(attempt -> attempt.endpoint)
                .distinct()
                .count();
    }
}
