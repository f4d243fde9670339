package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Queueing of requests, tested through the whole policy. */
class RequestQueueTest {
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);

    @Test
    void theMostUrgentQueuedRequestIsSentFirst() {
        RequestClass patient = new RequestClass(
                Idempotency.IDEMPOTENT,
                KeyScope.ALL,
                0,
                4 * Harness.LATENCY_OBJECTIVE_MICROS,
                4 * Harness.DEADLINE_MICROS,
                0,
                1,
                0,
                false);
        Harness harness = Harness.withoutEndpoints(IDEMPOTENT, patient);
        harness.request("patient", 1, 0, 4 * Harness.DEADLINE_MICROS);
        harness.request("urgent", 0);
        harness.list(EndpointListKind.DELTA, Harness.fleet(1));
        assertEquals(
                List.of("urgent", "patient"),
                harness.sends.stream().map(s -> s.request).toList());
    }

    @Test
    void aRequestNearItsDeadlineIsAnsweredAtOnce() {
        Harness harness = Harness.withoutEndpoints(IDEMPOTENT);
        harness.request("spent", 0, 0, 2_000);
        assertEquals("refused", harness.finalAnswers.get("spent"));
    }
}
