package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Hedged requests, tested through the whole policy. */
class HedgingPolicyTest {
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);
    private static final RequestClass NON_IDEMPOTENT = Harness.requestClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL);

    @Test
    void anIdempotentRequestWithoutAnAnswerIsHedgedOnce() {
        for (RequestClass requestClass : List.of(IDEMPOTENT, NON_IDEMPOTENT)) {
            Harness harness = Harness.withFleet(6, requestClass);
            harness.serve(60, 20_000, Map.of());
            Harness.Sent silent = harness.request("silent", 0);
            harness.advance(Harness.LATENCY_OBJECTIVE_MICROS - 5_000);
            int hedgedAttempts = harness.sentFor("silent").size() - 1;
            assertEquals(
                    requestClass == IDEMPOTENT ? 1 : 0,
                    hedgedAttempts,
                    "hedged attempts of " + requestClass.idempotency());
            assertTrue(harness.sentFor("silent").stream().skip(1).noneMatch(s -> s.endpoint.equals(silent.endpoint)));
        }
    }

    @Test
    void hedgedRequestsAreBoundedByTheRetryBudgetAndStopWhileAttemptsAreRejected() {
        Harness harness = Harness.withFleet(6, IDEMPOTENT);
        harness.serve(60, 20_000, Map.of());
        for (int i = 0; i < 60; i++) {
            harness.request("burst" + i, 0);
        }
        harness.advance(Harness.LATENCY_OBJECTIVE_MICROS);
        long hedgedAttempts = harness.sends.stream()
                .filter(s -> s.request.startsWith("burst") && s.attempt > 0)
                .count();
        assertTrue(
                hedgedAttempts > 0 && hedgedAttempts <= 10,
                "hedged attempts of 60 requests, with a retry budget of 10: " + hedgedAttempts);
        Harness saturated = Harness.withFleet(6, IDEMPOTENT);
        saturated.serve(60, 20_000, Map.of());
        List<Harness.Sent> rejected = IntStream.range(0, 8)
                .mapToObj(i -> saturated.request("full" + i, 0))
                .toList();
        rejected.forEach(s -> saturated.end(s, AttemptOutcome.FULL));
        saturated.request("wait", 0);
        saturated.advance(Harness.LATENCY_OBJECTIVE_MICROS);
        assertEquals(1, saturated.sentFor("wait").size());
    }
}
