package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the selection of endpoints by JSQ-DAS. */
class JsqDasSelectorTest {
    private static final PolicySettings IDEMPOTENT =
            Harness.settings(Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL));

    /**
     * Six endpoints, as many as a subset has. Three of them are of a machine kind with a greater weight, so that p is
     * one half.
     */
    private static Harness twoMachineKinds(long seed) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            list.add(new Endpoint("s" + i, EndpointState.UP, 0, i < 3 ? 2 : 1, 0, i < 3 ? 0 : 1, 0));
        }
        return new Harness(IDEMPOTENT, seed).list(EndpointListKind.CACHED, list);
    }

    @Test
    void withoutAccomplishmentEachBalancerHasItsOwnRanking() {
        Map<String, Integer> first = new HashMap<>();
        for (int seed = 0; seed < 2000; seed++) {
            first.merge(twoMachineKinds(seed).request("r", 0).endpoint, 1, Integer::sum);
        }
        assertEquals(Set.of("s0", "s1", "s2", "s3", "s4", "s5"), first.keySet());
        for (int count : first.values()) {
            assertTrue(count > 250 && count < 420, "selected evenly over all balancers: " + first);
        }
    }

    @Test
    void ranksWinTiesAsOftenAsInSamplingTwoOfThreeWithoutReplacement() {
        // Different counts fix the ranks. The three ranks of the top group then win with probability 2/3, 1/3 and 0.
        Map<Integer, Integer> wins = new HashMap<>();
        for (int seed = 0; seed < 3000; seed++) {
            Harness harness = twoMachineKinds(seed);
            List<String> selected = new ArrayList<>();
            for (int i = 0; i < 60; i++) { // so that the counts differ
                Harness.Sent sent = harness.request("w" + i, 0);
                harness.now += 1000;
                harness.end(sent, AttemptOutcome.OK);
                selected.add(sent.endpoint);
            }
            Map<String, Integer> counts = new HashMap<>();
            selected.forEach(s -> counts.merge(s, 1, Integer::sum));
            List<String> ranked = counts.entrySet().stream()
                    .sorted((a, b) -> b.getValue() - a.getValue())
                    .map(Map.Entry::getKey)
                    .toList();
            if (new HashSet<>(counts.values()).size() == counts.size()) {
                wins.merge(ranked.indexOf(harness.request("x", 0).endpoint), 1, Integer::sum);
            }
        }
        double total = wins.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(total > 300, "too few samples with distinct counts: " + total);
        assertEquals(0.67, wins.getOrDefault(0, 0) / total, 0.08);
        assertEquals(0.33, wins.getOrDefault(1, 0) / total, 0.08);
        assertEquals(0.0, wins.getOrDefault(2, 0) / total, 0.001, "the lowest rank of the top group never wins a tie");
    }

    @Test
    void theShortestSampledQueueWins() {
        // Once all endpoints of the top group are busy, an empty endpoint of the rest must be selected.
        for (int seed = 0; seed < 50; seed++) {
            Harness harness = twoMachineKinds(seed);
            Set<String> busy = new HashSet<>();
            for (int i = 0; i < 3; i++) {
                busy.add(harness.request("r" + i, 0).endpoint);
            }
            if (busy.size() == 3) {
                assertTrue(!busy.contains(harness.request("next", 0).endpoint));
            }
        }
    }

    @Test
    void requestsAreSentWithFewerEndpointsThanTheSampleSize() {
        for (int size = 1; size <= 3; size++) {
            Harness harness = new Harness(IDEMPOTENT, 7).list(EndpointListKind.CACHED, Harness.fleet(size));
            assertNotNull(harness.request("r", 0));
        }
    }

    @Test
    void sameEventsGiveSameActions() {
        List<String> actions = actionsOfScript(42);
        assertEquals(actions, actionsOfScript(42));
        assertTrue(!actions.equals(actionsOfScript(43)), "another seed gives other actions");
    }

    private static List<String> actionsOfScript(long seed) {
        Harness harness = twoMachineKinds(seed);
        for (int i = 0; i < 300; i++) {
            Harness.Sent sent = harness.request("r" + i, 0);
            harness.advance(7_000 + i % 13 * 1000);
            if (sent != null) {
                harness.end(sent, i % 11 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
            }
        }
        return harness.log;
    }

    @Test
    void aFastFailureKeepsItsSlotAndEarnsNoAccomplishment() {
        Harness harness = new Harness(IDEMPOTENT, 3).list(EndpointListKind.CACHED, Harness.fleet(4));
        harness.warmUp(40, 0, 50_000);
        Harness.Sent failed = harness.request("bad", 0);
        harness.now += 500;
        harness.end(failed, AttemptOutcome.ERROR); // the retry goes elsewhere
        assertEquals(2, harness.sentFor("bad").size());
        assertTrue(!harness.sentFor("bad").get(1).endpoint.equals(failed.endpoint));
        // The two other endpoints are empty, while the slot of the failed attempt still counts.
        for (int i = 0; i < 2; i++) {
            assertTrue(!harness.request("n" + i, 0).endpoint.equals(failed.endpoint));
        }
    }
}
