package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the subset of the list that a balancer uses. */
class CandidateSelectorTest {
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);

    @Test
    void theSubsetGrowsWhenItsEndpointsFail() {
        Harness harness = Harness.withFleet(40, IDEMPOTENT);
        harness.serve(4, 20_000, Map.of());
        List<String> used =
                harness.sends.stream().map(s -> s.endpoint).distinct().toList();
        assertTrue(used.size() <= 7, "a subset of about six endpoints: " + used);
        Map<String, AttemptOutcome> outcomes = new HashMap<>();
        used.forEach(s -> outcomes.put(s, AttemptOutcome.ERROR));
        harness.serve(100, 20_000, outcomes);
        long from = harness.now;
        harness.serve(20, 20_000, outcomes);
        long sentElsewhere = harness.sends.stream()
                .filter(s -> s.sentAt >= from && !used.contains(s.endpoint))
                .count();
        assertTrue(sentElsewhere >= 70, "requests sent to other endpoints: " + sentElsewhere + " of 80");
    }

    @Test
    void theSubsetIsTheSameAfterARestartAndHardlyChangesWithTheList() {
        List<String> before = usedEndpoints(40, 11);
        assertEquals(before, usedEndpoints(40, 12), "another seed stands for a restart of the same balancer");
        long kept = usedEndpoints(39, 12).stream().filter(before::contains).count();
        assertTrue(kept >= before.size() - 1, kept + " of " + before.size() + " kept");
    }

    private static List<String> usedEndpoints(int endpointCount, long seed) {
        Harness harness = new Harness(Harness.settings(IDEMPOTENT), seed)
                .list(EndpointListKind.CACHED, Harness.fleet(endpointCount));
        for (int i = 0; i < 40; i++) {
            harness.request("r" + i, 0);
        }
        return harness.sends.stream().map(s -> s.endpoint).distinct().sorted().toList();
    }
}
