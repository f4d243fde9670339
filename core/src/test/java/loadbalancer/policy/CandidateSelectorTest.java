package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The subset of the list that a balancer uses. */
class CandidateSelectorTest {
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);

    @Test
    void theSubsetGrowsWhenItsEndpointsFail() {
        Harness harness = Harness.withFleet(40, IDEMPOTENT);
        harness.serve(4, 20_000, Map.of());
        List<String> used =
                harness.sends.stream().map(s -> s.endpoint).distinct().toList();
        assertTrue(used.size() <= 7, "a subset of six: " + used);
        Map<String, AttemptOutcome> bad = new HashMap<>();
        used.forEach(s -> bad.put(s, AttemptOutcome.ERROR));
        harness.serve(100, 20_000, bad);
        long from = harness.now;
        harness.serve(20, 20_000, bad);
        long good = harness.sends.stream()
                .filter(s -> s.sentAt >= from && !used.contains(s.endpoint))
                .count();
        assertTrue(good >= 70, "others are used: " + good + " of 80");
    }

    @Test
    void theSubsetIsTheSameAfterARestartAndHardlyChangesWithTheList() {
        List<String> before = used(40, 11);
        assertEquals(before, used(40, 12), "another seed is another life of the same balancer");
        long kept = used(39, 12).stream().filter(before::contains).count();
        assertTrue(kept >= before.size() - 1, kept + " of " + before.size() + " kept");
    }

    private static List<String> used(int endpoints, long seed) {
        Harness harness =
                new Harness(Harness.settings(IDEMPOTENT), seed).list(EndpointListKind.CACHED, Harness.fleet(endpoints));
        for (int i = 0; i < 40; i++) {
            harness.request("r" + i, 0);
        }
        return harness.sends.stream().map(s -> s.endpoint).distinct().sorted().toList();
    }
}
