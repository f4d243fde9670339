package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Load shedding under overload and the recovery from it, tested through the whole policy. */
class OverloadTest {
    private static final RequestClass IDEMPOTENT = Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);
    private static final RequestClass NON_IDEMPOTENT = Harness.requestClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL);

    @Test
    void mostOfTheTenthBurstAfterAnOverloadIsSentAtOnce() {
        Harness harness = Harness.withFleet(6, IDEMPOTENT);
        harness.serve(200, 30_000, Map.of());
        for (int i = 0; i < 60; i++) { // every answer takes more than ten times as long as before
            harness.request("slow" + i, 0);
            harness.advance(50_000);
            harness.sends.stream()
                    .filter(s -> !s.ended && harness.now - s.sentAt >= 400_000)
                    .toList()
                    .forEach(s -> harness.end(s, AttemptOutcome.OK));
        }
        harness.sends.stream().filter(s -> !s.ended).toList().forEach(s -> harness.end(s, AttemptOutcome.OK));
        harness.advance(4_000_000);
        int sent = 0;
        for (int i = 0; i < 10 * 12; i++) { // in bursts of twelve
            sent += harness.request("after" + i, 0) != null ? 1 : 0;
            while (i % 12 == 11 && i < 9 * 12 && harness.sends.stream().anyMatch(s -> !s.ended)) {
                harness.advance(30_000);
                harness.sends.stream().filter(s -> !s.ended).toList().forEach(s -> harness.end(s, AttemptOutcome.OK));
                sent = 0;
            }
        }
        assertTrue(sent >= 8, "only " + sent + " of 12 were sent at once");
    }

    @Test
    void requestsAreSentAfterALongTimeWithoutAWake() {
        Harness harness = Harness.withFleet(1, IDEMPOTENT);
        for (int i = 0; i < 10; i++) {
            harness.end(harness.request("r" + i, 0), AttemptOutcome.OK);
        }
        harness.now += 2_000_000_000L;
        harness.policy.wake(harness.now, harness);
        assertTrue(harness.request("after", 0) != null);
    }

    @Test
    void aClientRetryThatIsLateHasLowPriority() {
        Harness harness = Harness.withFleet(6, IDEMPOTENT);
        harness.serve(20, 20_000, Map.of());
        int rejected = 0;
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            harness.clientRetry("late" + i, 0, Harness.DEADLINE_MICROS - Harness.LATENCY_OBJECTIVE_MICROS - 200_000);
            harness.clientRetry("quick" + i, 0, Harness.DEADLINE_MICROS - 150_000); // can still be in time
            rejected += "refused".equals(harness.finalAnswers.get("late" + i)) ? 1 : 0;
            sent += harness.sentFor("quick" + i).size();
        }
        assertEquals(20, sent, "requests that can still be in time are sent");
        assertTrue(rejected >= 14, "late requests are admitted only gradually: rejected " + rejected);
    }

    @Test
    void aClientRetryThatMayBeInTimeIsSentLikeAnyRequest() {
        Harness harness = Harness.withFleet(6, IDEMPOTENT);
        harness.serve(20, 20_000, Map.of());
        // It has as much time as a first attempt, so its age is unknown.
        harness.clientRetry("again", 0, Harness.DEADLINE_MICROS);
        assertEquals(1, harness.sentFor("again").size());
    }

    @Test
    void overloadShedsAFractionThatIsAdmittedAgainAfterwards() {
        Harness harness = Harness.withFleet(6, IDEMPOTENT);
        assertEquals(40, harness.serveOneByOne(40, 0, 0, 50_000), "without overload every request is sent");
        harness.serveOneByOne(30, 0, 0, 900_000);
        int late = harness.serveOneByOne(20, 0, 0, 900_000);
        assertTrue(late < 14, "while all answers are late, some requests are rejected: sent " + late + " of 20");
        harness.serveOneByOne(200, 0, 0, 50_000);
        assertTrue(harness.serveOneByOne(40, 0, 0, 50_000) >= 39, "requests are admitted again");
    }

    @Test
    void theOverloadScoreDecaysWithoutAnswers() {
        Harness harness = Harness.withFleet(6, IDEMPOTENT);
        harness.serveOneByOne(60, 0, 0, 1_800_000);
        harness.advance(20_000_000);
        assertTrue(harness.serveOneByOne(20, 0, 0, 50_000) >= 19);
    }

    @Test
    void theLowestPriorityWeightIsRejectedFirst() {
        RequestClass heavy = new RequestClass(
                Idempotency.NON_IDEMPOTENT,
                KeyScope.ALL,
                0,
                Harness.LATENCY_OBJECTIVE_MICROS,
                Harness.DEADLINE_MICROS,
                0,
                9,
                0,
                false);
        Harness harness = Harness.withFleet(6, NON_IDEMPOTENT, heavy);
        for (int i = 0; i < 30; i++) {
            harness.serveOneByOne(1, 0, 0, 350_000);
            harness.serveOneByOne(1, 1, 0, 350_000);
        }
        int lightSent = harness.serveOneByOne(10, 0, 0, 1_000);
        int heavySent = harness.serveOneByOne(10, 1, 0, 1_000);
        assertTrue(
                heavySent >= 8 && lightSent <= 2,
                "sent: " + heavySent + " of the higher weight, " + lightSent + " of the lower");
    }

    @Test
    void withWeightsPerRequestAllClassesAreRejectedAlike() {
        RequestClass heavy = new RequestClass(
                Idempotency.NON_IDEMPOTENT,
                KeyScope.ALL,
                0,
                Harness.LATENCY_OBJECTIVE_MICROS,
                Harness.DEADLINE_MICROS,
                0,
                9,
                0,
                false);
        PolicySettings base = Harness.settings(NON_IDEMPOTENT, heavy);
        Harness harness = new Harness(Harness.settings(base, 1, 0, false, false), 3)
                .list(EndpointListKind.CACHED, Harness.fleet(6));
        for (int i = 0; i < 40; i++) {
            harness.serveOneByOne(1, 0, 0, 500_000);
            harness.serveOneByOne(1, 1, 0, 500_000);
        }
        int lightSent = harness.serveOneByOne(60, 0, 0, 1_000);
        int heavySent = harness.serveOneByOne(60, 1, 0, 1_000);
        assertTrue(
                lightSent >= heavySent / 2,
                "sent: " + heavySent + " of the higher weight, " + lightSent + " of the lower");
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"NOT_SENT", "CONNECT_FAILED", "RESET", "ERROR"})
    void failuresForOtherReasonsThanLoadShedNothing(AttemptOutcome outcome) {
        Harness harness = Harness.withFleet(6, NON_IDEMPOTENT);
        harness.serve(20, 20_000, Map.of());
        for (int i = 0; i < 200; i++) {
            Harness.Sent sent = harness.request("failed" + i, 0);
            for (int attempts = 0; attempts < 9 && sent != null; attempts++) {
                harness.end(sent, outcome);
                sent = harness.sends.stream().filter(s -> !s.ended).findFirst().orElse(null);
            }
            harness.advance(1_000);
        }
        harness.advance(200_000); // all endpoints look unhealthy, so all are used (panic)
        int before = harness.sends.size();
        harness.request("after", 0);
        assertTrue(harness.sends.size() > before, "the next request is sent");
    }

    @Test
    void nothingIsShedAfterATimeWithoutEndpoints() {
        Harness harness = Harness.withoutEndpoints(NON_IDEMPOTENT);
        for (int i = 0; i < 200; i++) {
            harness.request("held" + i, 0);
            harness.advance(10_000);
        }
        harness.advance(Harness.DEADLINE_MICROS);
        harness.list(EndpointListKind.DELTA, Harness.fleet(3));
        for (int i = 0; i < 5; i++) {
            assertTrue(harness.request("after" + i, 0) != null, "requests are sent as soon as there are endpoints");
        }
    }

    @Test
    void admissionRecoversAsFastAsItSheds() {
        Harness harness = Harness.withFleet(6, IDEMPOTENT);
        harness.serveOneByOne(40, 0, 0, 50_000);
        for (int i = 0; i < 20; i++) { // two seconds of late answers, ten per second
            Harness.Sent sent = harness.request("late" + i, 0);
            harness.advance(100_000);
            if (sent != null) {
                harness.now += 1;
                harness.policy.outcome(
                        harness.now,
                        sent.request,
                        sent.attempt,
                        AttemptOutcome.OK,
                        2 * Harness.LATENCY_OBJECTIVE_MICROS,
                        true,
                        null,
                        harness);
                sent.ended = true;
            }
        }
        int during = harness.serveOneByOne(20, 0, 0, 50_000);
        assertTrue(during > 0, "some requests are still sent, or the balancer would not learn of the recovery");
        harness.serveOneByOne(20, 0, 0, 50_000); // two seconds of timely answers in total
        assertTrue(harness.serveOneByOne(40, 0, 0, 1_000) >= 38, "nearly all requests are sent again");
    }
}
