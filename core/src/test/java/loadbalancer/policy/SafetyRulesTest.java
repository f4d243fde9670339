package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The safety rules by idempotency of the request class. */
class SafetyRulesTest {
    private static final RequestClass NON_IDEMPOTENT = Harness.requestClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL);
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);

    private static Harness warmedUp(RequestClass kind) {
        Harness harness = new Harness(Harness.settings(kind), 5).list(EndpointListKind.CACHED, Harness.fleet(6));
        harness.warmUp(60, 0, 40_000);
        return harness;
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
    void aNonIdempotentRequestThatMayHaveRunFails(AttemptOutcome outcome) {
        Harness harness = warmedUp(NON_IDEMPOTENT);
        harness.end(harness.request("r", 0), outcome);
        assertEquals("failed", harness.finalAnswers.get("r"));
        assertEquals(1, harness.sentFor("r").size());
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"FULL", "CONNECT_FAILED"})
    void aNonIdempotentRequestThatNeverRanIsRetriedElsewhere(AttemptOutcome outcome) {
        Harness harness = warmedUp(NON_IDEMPOTENT);
        Harness.Sent first = harness.request("r", 0);
        harness.end(first, outcome);
        assertEquals(2, harness.sentFor("r").size());
        assertFalse(harness.sentFor("r").get(1).endpoint.equals(first.endpoint));
    }

    @Test
    void aNonIdempotentRequestIsNotHedged() {
        Harness harness = warmedUp(NON_IDEMPOTENT);
        harness.request("r", 0);
        harness.advance(Harness.DEADLINE_MICROS - 100_000);
        assertEquals(1, harness.sentFor("r").size());
    }

    @Test
    void nothingIsHedgedWhereTheSiteForbidsIt() {
        Harness harness = new Harness(Harness.settings(1, false, DiscoveryMode.PUSH, List.of(), IDEMPOTENT), 5)
                .list(EndpointListKind.CACHED, Harness.fleet(6));
        harness.warmUp(60, 0, 40_000);
        Harness.Sent first = harness.request("r", 0);
        assertEquals(0, first.timeout, "an idempotent attempt has no timeout: its work would be done twice");
        harness.advance(Harness.LATENCY_OBJECTIVE_MICROS);
        assertEquals(1, harness.sentFor("r").size());
    }

    @ParameterizedTest
    @EnumSource(KeyScope.class)
    void aRequestWithAnIdempotencyKeyStaysWithinTheScopeOfTheKey(KeyScope scope) {
        for (int seed = 0; seed < 20; seed++) {
            Harness harness = new Harness(
                            Harness.settings(Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, scope)), seed)
                    .list(EndpointListKind.CACHED, Harness.fleet(6));
            harness.warmUp(40, 0, 40_000);
            Harness.Sent first = harness.request("r", 0);
            harness.end(first, AttemptOutcome.ERROR);
            Harness.Sent second = harness.sentFor("r").get(1);
            if (scope != KeyScope.ALL) { // cell and zone alternate over the fleet
                assertEquals(first.endpoint.charAt(1) % 2, second.endpoint.charAt(1) % 2);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(KeyScope.class)
    void aRequestWithAnIdempotencyKeyIsNotRetriedAfterTheRetentionOfTheKey(KeyScope scope) {
        Harness harness = warmedUp(Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, scope));
        Harness.Sent first = harness.request("r", 0);
        harness.advance(2_500_000); // the key is retained for 2 s from the first attempt
        for (Harness.Sent attempt : harness.sentFor("r")) {
            assertTrue(attempt.sentAt - first.sentAt < 2_000_000);
        }
        int before = harness.sentFor("r").size();
        harness.sentFor("r").forEach(s -> harness.end(s, AttemptOutcome.ERROR));
        harness.advance(1_000_000);
        assertEquals(before, harness.sentFor("r").size());
        assertEquals(scope == KeyScope.ALL ? "refused" : "failed", harness.finalAnswers.get("r"));
    }

    /** Guards against a repeat that waits for its connection beyond the retention of its key. */
    @Test
    void aRepeatIsPermittedForTheRestOfTheRetentionOfItsKeyOnly() {
        Harness harness = warmedUp(Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, KeyScope.ALL));
        Harness.Sent first = harness.request("r", 0);
        assertEquals(Long.MAX_VALUE, first.permittedMicros, "nothing limits a first attempt");
        harness.advance(100_000);
        harness.end(first, AttemptOutcome.RESET);
        long permittedMicros = harness.sentFor("r").get(1).permittedMicros;
        assertTrue(permittedMicros <= 1_900_000 && permittedMicros > 1_800_000, "permitted: " + permittedMicros);
    }

    /** Guards against a request that waits for its deadline although it may not be sent any more. */
    @Test
    void aQueuedRepeatIsAnsweredWhenTheRetentionOfItsKeyEnds() {
        RequestClass shortRetention = new RequestClass(
                Idempotency.IDEMPOTENT_WITH_KEY,
                KeyScope.ALL,
                200_000,
                Harness.LATENCY_OBJECTIVE_MICROS,
                Harness.DEADLINE_MICROS,
                0,
                1,
                0.3,
                false);
        Harness harness = warmedUp(shortRetention);
        Harness.Sent first = harness.request("r", 0);
        harness.list(EndpointListKind.SNAPSHOT, List.of());
        harness.end(first, AttemptOutcome.RESET);
        assertNull(harness.finalAnswers.get("r"));
        harness.advance(200_000);
        assertEquals("refused", harness.finalAnswers.get("r"));
    }

    @Test
    void noRequestIsSentToADrainingOrGoneEndpoint() {
        Harness harness = new Harness(Harness.settings(IDEMPOTENT), 1).list(EndpointListKind.CACHED, Harness.fleet(3));
        harness.list(EndpointListKind.DELTA, List.of(new Endpoint("s0", EndpointState.DRAINING, 0, 1, 0, 0, 0)));
        harness.list(EndpointListKind.DELTA, List.of(new Endpoint("s1", EndpointState.GONE, 0, 1, 1, 1, 1)));
        for (int i = 0; i < 30; i++) {
            Harness.Sent sent = harness.request("r" + i, 0);
            assertEquals("s2", sent.endpoint);
            harness.advance(30_000);
            harness.end(sent, AttemptOutcome.OK);
        }
        harness.list(EndpointListKind.SNAPSHOT, List.of(Harness.up("s1")));
        assertEquals("s1", harness.request("x", 0).endpoint, "an endpoint that is missing in a complete list is gone");
    }

    @Test
    void everyRequestIsAnsweredWhenNoEndpointIsListed() {
        Harness harness =
                new Harness(Harness.settings(IDEMPOTENT, NON_IDEMPOTENT), 1).list(EndpointListKind.CACHED, List.of());
        assertNull(harness.request("a", 0));
        assertNull(harness.request("b", 1, 0, 6_000));
        harness.advance(30_000);
        assertTrue(harness.finalAnswers.containsKey("b"), "a request near its deadline is answered at once");
        harness.advance(Harness.DEADLINE_MICROS);
        assertEquals("refused", harness.finalAnswers.get("a"));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 8})
    void anEndpointInSlowStartIsSentNoMoreThanItsWeightAllows(int balancers) {
        // Four warm endpoints give this balancer 50 answers per second; one in slow start is sent its weighted part of
        // that.
        PolicySettings settings = Harness.settings(balancers, true, DiscoveryMode.PUSH, List.of(), IDEMPOTENT);
        Harness harness = new Harness(settings, 1).list(EndpointListKind.CACHED, Harness.fleet(4));
        harness.warmUp(300, 0, 20_000);
        harness.list(EndpointListKind.DELTA, List.of(new Endpoint("cold", EndpointState.UP, harness.now, 1, 0, 0, 0)));
        long startedAt = harness.now;
        harness.warmUp(150, 0, 20_000);
        long sent = harness.sentTo("cold", startedAt);
        double seconds = (harness.now - startedAt) / 1e6;
        double weight = 0.2 + 0.8 * seconds / 20; // at the end of the time, and lower before
        assertTrue(sent <= 50.0 / 4 * weight * 2.5 * seconds, sent + " attempts in " + seconds + " s");
    }

    @Test
    void anEndpointThatRestartsIsInSlowStartAgain() {
        Harness harness = new Harness(Harness.settings(IDEMPOTENT), 1).list(EndpointListKind.CACHED, Harness.fleet(2));
        harness.warmUp(100, 0, 20_000);
        harness.list(EndpointListKind.DELTA, List.of(new Endpoint("s0", EndpointState.UP, harness.now, 1, 0, 0, 0)));
        long restarted = harness.now;
        harness.warmUp(50, 0, 20_000);
        long cold = harness.sentTo("s0", restarted);
        assertTrue(cold < 15, "an endpoint in slow start was sent " + cold + " of 50 requests");
    }
}
