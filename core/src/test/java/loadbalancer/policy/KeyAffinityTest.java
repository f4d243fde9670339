package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** How many endpoints the requests of a key are spread over. */
class KeyAffinityTest {
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);

    @Test
    void aHotKeyGetsMoreEndpointsThanAColdOne() {
        PolicySettings s = Harness.settings(IDEMPOTENT);
        Harness harness =
                new Harness(Harness.settings(s, 1, 0, true, true), 3).list(EndpointListKind.CACHED, Harness.fleet(20));
        for (int i = 0; i < 600; i++) {
            Harness.Sent sent = harness.requestWithKey("r" + i, 0, i % 2 == 0 ? "hot" : "k" + i % 75);
            harness.advance(10_000);
            harness.sends.stream()
                    .filter(x -> !x.ended && harness.now - x.sentAt >= 60_000)
                    .toList()
                    .forEach(x -> harness.end(x, AttemptOutcome.OK));
            assertTrue(sent != null);
        }
        long hot = endpointsOf(harness, 0, 2);
        long cold = endpointsOf(harness, 3, 150); // of the odd ones: the even ones are for the hot key
        assertTrue(hot >= 8 && cold <= 3, "hot on " + hot + ", cold on " + cold);
    }

    @Test
    void aHotKeyAddsLittleToTheLoadOfEachOfItsEndpoints() {
        PolicySettings s = Harness.settings(IDEMPOTENT);
        Harness harness = new Harness(Harness.settings(s, 100, 0, true, true), 3)
                .list(EndpointListKind.CACHED, Harness.fleet(60));
        for (int i = 0; i < 600; i++) { // ten a second, one in twelve for the hot key
            Harness.Sent sent = harness.requestWithKey("r" + i, 0, i % 12 == 0 ? "hot" : "k" + i % 75);
            harness.advance(60_000);
            harness.end(sent, AttemptOutcome.OK);
            harness.advance(40_000);
        }
        long hot = endpointsOf(harness, 0, 12);
        assertTrue(hot >= 9, "a key of a twelfth of the traffic on " + hot + " of 60 endpoints");
    }

    @Test
    void balancersWithLittleTrafficSendAKeyToTheSameFewEndpoints() {
        PolicySettings s = Harness.settings(IDEMPOTENT);
        Set<String> used = new HashSet<>();
        for (int rank = 0; rank < 100; rank++) {
            Harness harness = new Harness(Harness.settings(s, 100, rank, true, true), 3 + rank)
                    .list(EndpointListKind.CACHED, Harness.fleet(60));
            Harness.Sent sent = harness.requestWithKey("r" + rank, 0, "key");
            harness.advance(30_000);
            harness.end(sent, AttemptOutcome.OK);
            used.add(sent.endpoint);
        }
        assertTrue(used.size() <= 3, "one key went to " + used.size() + " endpoints");
    }

    private static long endpointsOf(Harness harness, int first, int step) {
        return harness.sends.stream()
                .filter(x -> Integer.parseInt(x.request.substring(1)) % step == first)
                .map(x -> x.endpoint)
                .distinct()
                .count();
    }
}
