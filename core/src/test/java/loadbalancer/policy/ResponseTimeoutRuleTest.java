package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Timeouts of attempts, tested through the whole policy. */
class ResponseTimeoutRuleTest {
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);
    private static final RequestClass NON_IDEMPOTENT = Harness.requestClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL);

    @Test
    void aNonIdempotentRequestTimesOutAtItsLatencyObjective() {
        Harness harness = Harness.withFleet(6, IDEMPOTENT, NON_IDEMPOTENT);
        assertEquals(Harness.LATENCY_OBJECTIVE_MICROS, harness.request("once", 1).timeout);
        assertEquals(
                0,
                harness.request("safe", 0).timeout,
                "an idempotent request has no timeout, as its work would be done twice");
        Harness.Sent late = harness.sentFor("once").get(0);
        harness.advance(Harness.LATENCY_OBJECTIVE_MICROS);
        harness.end(late, AttemptOutcome.TIMEOUT);
        assertEquals("failed", harness.finalAnswers.get("once"));
    }
}
