package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Ordered delivery by key, and placement by zone and kind of machine. */
class OrderAndPlacementTest {
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);

    private static RequestClass ordered(Idempotency idempotency) {
        return Harness.requestClass(idempotency, true, Set.of(), Set.of());
    }

    private static RequestClass placed(Set<Integer> zones, Set<Integer> machineKinds) {
        return new RequestClass(
                Idempotency.IDEMPOTENT,
                KeyScope.ALL,
                0,
                Harness.LATENCY_OBJECTIVE_MICROS,
                Harness.DEADLINE_MICROS,
                0,
                1,
                0.3,
                false,
                false,
                zones,
                machineKinds);
    }

    private static Harness warmedUp(RequestClass... classes) {
        Harness harness = new Harness(Harness.settings(classes), 3).list(EndpointListKind.CACHED, Harness.fleet(6));
        harness.warmUp(30, 0, 20_000);
        return harness;
    }

    @Test
    void requestsOfAKeyAreSentOneByOneInTheOrderOfArrival() {
        Harness harness = warmedUp(ordered(Idempotency.IDEMPOTENT_WITH_KEY), ordered(Idempotency.IDEMPOTENT));
        Harness.Sent first = harness.requestWithKey("a", 0, "k");
        assertNull(harness.requestWithKey("b", 1, "k"), "classes with ordered delivery share their key sequences");
        assertNull(harness.requestWithKey("c", 0, "k"));
        assertTrue(harness.requestWithKey("other", 0, "l") != null, "another key is not delayed");
        assertTrue(harness.request("none", 0) != null, "a request without a key is not delayed");
        harness.advance(30_000);
        harness.end(first, AttemptOutcome.OK);
        assertEquals(1, harness.sentFor("b").size());
        assertEquals(0, harness.sentFor("c").size());
        harness.end(harness.sentFor("b").get(0), AttemptOutcome.OK);
        assertEquals(1, harness.sentFor("c").size());
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"TIMEOUT", "RESET", "CANCELLED"})
    void aKeySequencePausesAfterAnAttemptThatMayStillRun(AttemptOutcome outcome) {
        Harness harness = warmedUp(ordered(Idempotency.NON_IDEMPOTENT));
        Harness.Sent first = harness.requestWithKey("a", 0, "k");
        harness.requestWithKey("b", 0, "k");
        harness.advance(30_000);
        harness.end(first, outcome);
        assertEquals("failed", harness.finalAnswers.get("a"));
        harness.advance(Harness.KEY_SEQUENCE_PAUSE_MICROS - 10_000);
        assertEquals(0, harness.sentFor("b").size(), "the key pauses");
        harness.advance(50_000);
        assertEquals(1, harness.sentFor("b").size(), "the next request is sent after the pause");
    }

    @Test
    void aKeySequencePausesAlsoWhenTheClientHasLeft() {
        Harness harness = warmedUp(ordered(Idempotency.IDEMPOTENT));
        Harness.Sent first = harness.requestWithKey("a", 0, "k");
        harness.requestWithKey("b", 0, "k");
        harness.finalAnswers.put("a", "gone");
        harness.policy.clientGone(harness.now, "a", harness);
        harness.advance(50_000);
        assertEquals(0, harness.sentFor("b").size(), "the attempt is still in flight");
        harness.end(first, AttemptOutcome.CANCELLED);
        harness.advance(Harness.KEY_SEQUENCE_PAUSE_MICROS - 10_000);
        assertEquals(0, harness.sentFor("b").size());
        harness.advance(50_000);
        assertEquals(1, harness.sentFor("b").size());
    }

    @Test
    void theFirstRequestOfAKeyIsRetriedWithoutAPause() {
        Harness harness = warmedUp(ordered(Idempotency.IDEMPOTENT));
        harness.end(harness.requestWithKey("a", 0, "k"), AttemptOutcome.RESET);
        assertEquals(2, harness.sentFor("a").size());
    }

    @Test
    void aRequestThatNeverBecomesTheFirstOfItsKeyIsAnsweredInTime() {
        Harness harness = warmedUp(ordered(Idempotency.IDEMPOTENT));
        harness.requestWithKey("a", 0, "k");
        long from = harness.now;
        harness.requestWithKey("b", 0, "k");
        harness.advance(Harness.DEADLINE_MICROS);
        assertEquals("refused", harness.finalAnswers.get("b"));
        assertTrue(harness.now - from <= Harness.DEADLINE_MICROS);
    }

    @Test
    void requestsOfAClassWithPlacementAreSentToNoOtherEndpoints() {
        Harness harness = warmedUp(IDEMPOTENT, placed(Set.of(1), Set.of()), placed(Set.of(), Set.of(0)));
        for (int i = 0; i < 40; i++) { // zones and kinds of machine alternate over the fleet
            assertEquals(1, harness.request("z" + i, 1).endpoint.charAt(1) % 2);
            assertEquals(0, harness.request("k" + i, 2).endpoint.charAt(1) % 2);
            harness.advance(10_000);
        }
        harness.sends.stream().filter(s -> !s.ended).toList().forEach(s -> harness.end(s, AttemptOutcome.ERROR));
        harness.advance(Harness.DEADLINE_MICROS);
        harness.sends.stream()
                .filter(s -> s.request.startsWith("z"))
                .forEach(s ->
                        assertEquals(1, s.endpoint.charAt(1) % 2, "the rule holds for retries and hedged attempts"));
        harness.sends.stream()
                .filter(s -> s.request.startsWith("k"))
                .forEach(s ->
                        assertEquals(0, s.endpoint.charAt(1) % 2, "the rule holds for retries and hedged attempts"));
    }

    @Test
    void aRequestWithPlacementWaitsWithoutDelayingOthers() {
        Harness harness = new Harness(Harness.settings(IDEMPOTENT, placed(Set.of(7), Set.of())), 3)
                .list(EndpointListKind.CACHED, List.of());
        harness.request("placed", 1);
        harness.request("anywhere", 0);
        harness.list(EndpointListKind.DELTA, Harness.fleet(4));
        assertEquals(1, harness.sentFor("anywhere").size());
        assertEquals(0, harness.sentFor("placed").size());
        harness.list(EndpointListKind.DELTA, List.of(new Endpoint("own", EndpointState.UP, 0, 1, 0, 0, 7)));
        assertEquals("own", harness.sentFor("placed").get(0).endpoint);
        harness.request("placed2", 1);
        harness.list(EndpointListKind.DELTA, List.of(new Endpoint("own", EndpointState.GONE, 0, 1, 0, 0, 7)));
        harness.request("placed3", 1);
        harness.advance(Harness.DEADLINE_MICROS);
        assertEquals("refused", harness.finalAnswers.get("placed3"), "queued, then answered by its deadline");
    }
}
