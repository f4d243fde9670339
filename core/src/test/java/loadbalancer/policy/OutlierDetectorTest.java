package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests ejection, probation and the pause after a rejection, by the behaviour of the whole policy. */
class OutlierDetectorTest {
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);
    private static final RequestClass NON_IDEMPOTENT = Harness.requestClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL);

    @Test
    void anEndpointThatFailsFastIsEjectedAndRecoversAfterProbation() {
        Harness harness = Harness.withFleet(6, IDEMPOTENT);
        harness.serve(100, 20_000, Map.of());
        long from = harness.now;
        harness.serve(200, 20_000, Map.of("s1", AttemptOutcome.ERROR));
        assertTrue(
                harness.sentTo("s1", from) < 20,
                "requests to the failing endpoint in 4 s: " + harness.sentTo("s1", from));
        assertTrue(harness.log.stream().anyMatch(line -> line.contains("ejected s1")));
        harness.serve(1200, 20_000, Map.of());
        assertTrue(harness.log.stream().anyMatch(line -> line.contains("recovered s1")));
    }

    @Test
    void anEndpointThatOnlyRejectsIsEjected() {
        Harness harness = Harness.withFleet(6, NON_IDEMPOTENT);
        harness.serve(100, 20_000, Map.of());
        long from = harness.now;
        harness.serve(300, 20_000, Map.of("s1", AttemptOutcome.FULL));
        assertTrue(harness.log.stream().anyMatch(line -> line.contains("ejected s1")));
        assertTrue(
                harness.sentTo("s1", from) < 40,
                "requests to the rejecting endpoint in 6 s: " + harness.sentTo("s1", from));
    }

    @Test
    void aStalledEndpointGetsNoRequestsBeforeItsAttemptsTimeOut() {
        Harness harness = Harness.withFleet(3, NON_IDEMPOTENT);
        harness.serve(100, 30_000, Map.of());
        Harness.Sent stalled = harness.request("stuck", 0);
        harness.advance(200_000);
        long from = harness.now;
        for (int i = 0; i < 40; i++) { // three at a time, as the third one finds equal queues at all endpoints
            for (int j = 0; j < 3; j++) {
                harness.request("n" + i + "/" + j, 0);
            }
            harness.advance(20_000);
            harness.sends.stream()
                    .filter(s -> !s.ended && s != stalled)
                    .toList()
                    .forEach(s -> harness.end(s, AttemptOutcome.OK));
        }
        assertEquals(0, harness.sentTo(stalled.endpoint, from));
    }

    @Test
    void requestsAreSentAfterAllEndpointsHaveFailed() {
        Harness harness = Harness.withFleet(4, IDEMPOTENT);
        harness.serve(60, 20_000, Map.of());
        Map<String, AttemptOutcome> outcomes = new HashMap<>();
        List.of("s0", "s1", "s2", "s3").forEach(s -> outcomes.put(s, AttemptOutcome.ERROR));
        harness.serve(60, 20_000, outcomes);
        long from = harness.now;
        harness.serve(20, 20_000, Map.of());
        assertTrue(harness.sends.stream().filter(s -> s.sentAt >= from).count() >= 10, "requests are still sent");
    }

    @Test
    void anEndpointThatRejectsIsNotUsedForAMoment() {
        Harness harness = Harness.withFleet(6, NON_IDEMPOTENT);
        harness.serve(50, 50_000, Map.of());
        Harness.Sent full = harness.request("full", 0);
        harness.now += 300;
        harness.end(full, AttemptOutcome.FULL);
        long from = harness.now + 1;
        for (int i = 0; i < 20; i++) {
            harness.now += 100;
            harness.request("n" + i, 0);
        }
        assertEquals(0, harness.sentTo(full.endpoint, from));
    }
}
