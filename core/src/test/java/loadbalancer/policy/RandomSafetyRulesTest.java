package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the safety rules over random legal events with a rule checker, which has a test of its own. */
class RandomSafetyRulesTest {
    private static final List<RequestClass> CLASSES = List.of(
            Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL),
            Harness.requestClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL),
            Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, KeyScope.ALL),
            Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, KeyScope.CELL),
            Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, KeyScope.ZONE));

    private static final long RESPONSE_SLACK_MICROS = 20_000;
    private static final double MICROS_PER_SECOND = 1e6;

    /** The events of one request so far. */
    private static final class RequestHistory {
        RequestClass requestClass;
        long deadline;
        String answer;
        final List<Endpoint> targets = new ArrayList<>();
        final List<Long> sentAt = new ArrayList<>();
        final List<AttemptOutcome> outcomes = new ArrayList<>(); // null while in flight
    }

    /** Receives all events in order; each call returns the rule that the event violates, or null. */
    private static final class RuleChecker {
        private final Map<String, RequestHistory> requests = new HashMap<>();

        void arrived(String id, RequestClass requestClass, long deadline) {
            RequestHistory history = new RequestHistory();
            history.requestClass = requestClass;
            history.deadline = deadline;
            requests.put(id, history);
        }

        String sent(String id, Endpoint target, boolean usable, long now) {
            RequestHistory history = requests.get(id);
            if (history.answer != null) {
                return "sent after its answer";
            }
            if (!usable) {
                return "sent to an endpoint that is draining or gone";
            }
            for (int i = 0; i < history.outcomes.size(); i++) {
                if (mayHaveRun(history.outcomes.get(i))) {
                    String violation = retryViolation(history, i, target, now);
                    if (violation != null) {
                        return violation;
                    }
                }
            }
            history.targets.add(target);
            history.sentAt.add(now);
            history.outcomes.add(null);
            return null;
        }

        private static boolean mayHaveRun(AttemptOutcome outcome) {
            return outcome == null || !outcome.neverRan();
        }

        private static String retryViolation(RequestHistory history, int earlierAttempt, Endpoint target, long now) {
            RequestClass requestClass = history.requestClass;
            if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
                return "a non-idempotent request may be executed twice";
            }
            Endpoint earlierTarget = history.targets.get(earlierAttempt);
            boolean outsideScope = requestClass.scope() == KeyScope.CELL && earlierTarget.cell() != target.cell()
                    || requestClass.scope() == KeyScope.ZONE && earlierTarget.zone() != target.zone();
            boolean expired = now - history.sentAt.get(earlierAttempt) >= requestClass.keyRetentionMicros();
            return requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && (outsideScope || expired)
                    ? "sent outside the scope or after the retention of its idempotency key"
                    : null;
        }

        String answered(String id, String answer, long now) {
            RequestHistory history = requests.get(id);
            if (history.answer != null) {
                return "answered twice";
            }
            history.answer = answer;
            if (now > history.deadline + RESPONSE_SLACK_MICROS) {
                return "answered too late";
            }
            RequestClass requestClass = history.requestClass;
            boolean clientMayRetry = requestClass.idempotency() == Idempotency.IDEMPOTENT
                    || requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                            && requestClass.scope() == KeyScope.ALL;
            boolean mayHaveRun = history.outcomes.stream().anyMatch(RuleChecker::mayHaveRun);
            return answer.equals("refused") && mayHaveRun && !clientMayRetry
                    ? "rejected although it may have run"
                    : null;
        }

        String unansweredViolation(long now) {
            return requests.values().stream()
                            .anyMatch(
                                    request -> request.answer == null && now > request.deadline + RESPONSE_SLACK_MICROS)
                    ? "a request was not answered"
                    : null;
        }
    }

    /** Returns a window with more attempts than the slow start budget of all balancers allows, or null. */
    static String slowStartViolation(List<Long> sends, long startedAt, double warmPerSecond, SafetyBounds bounds) {
        for (int i = 0; i < sends.size(); i++) {
            long from = sends.get(i);
            double weight = bounds.slowStartInitialWeight()
                    + (1 - bounds.slowStartInitialWeight()) * (from - startedAt) / bounds.slowStartDurationMicros();
            long until = from + bounds.overloadWindowMicros();
            long count = sends.stream().filter(t -> t >= from && t < until).count();
            double max =
                    bounds.overloadFactor() * weight * warmPerSecond * bounds.overloadWindowMicros() / MICROS_PER_SECOND
                            + 2;
            if (count > max && from - startedAt < bounds.slowStartDurationMicros()) {
                return count + " attempts in a window that allows " + max;
            }
        }
        return null;
    }

    @Test
    void theCheckerDetectsEveryKindOfViolation() {
        Endpoint one = new Endpoint("a", EndpointState.UP, 0, 1, 0, 0, 0);
        Endpoint two = new Endpoint("b", EndpointState.UP, 0, 1, 1, 0, 1);
        RuleChecker checker = new RuleChecker();
        checker.arrived("u", Harness.requestClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL), 100);
        assertNull(checker.sent("u", one, true, 0));
        assertTrue(checker.sent("u", two, true, 1).contains("twice"));
        assertTrue(checker.answered("u", "refused", 1).contains("may have run"));
        assertTrue(checker.answered("u", "failed", 1).contains("answered twice"));
        assertTrue(checker.sent("u", one, true, 2).contains("after its answer"));
        checker.arrived("k", Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, KeyScope.CELL), 100);
        assertTrue(checker.sent("k", one, false, 0).contains("draining"));
        assertNull(checker.sent("k", one, true, 0));
        assertTrue(checker.sent("k", two, true, 0).contains("scope"));
        assertTrue(checker.sent("k", one, true, 2_000_000).contains("retention"));
        assertTrue(checker.unansweredViolation(100 + RESPONSE_SLACK_MICROS + 1).contains("not answered"));
        assertTrue(
                checker.answered("k", "failed", 100 + RESPONSE_SLACK_MICROS + 1).contains("too late"));
        SafetyBounds bounds = Harness.settings(Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL))
                .bounds();
        assertTrue(slowStartViolation(LongStream.range(0, 30).boxed().toList(), 0, 10, bounds) != null);
        assertNull(slowStartViolation(List.of(0L, 900_000L), 0, 10, bounds));
    }

    private final RuleChecker checker = new RuleChecker();
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private SplittableRandom random;
    private Harness harness;
    private int checkedSends;
    private int checkedAnswers;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsViolateNoRule(long seed) {
        random = new SplittableRandom(seed);
        harness = new Harness(Harness.settings(CLASSES.toArray(new RequestClass[0])), seed);
        Harness.fleet(8).forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        harness.list(EndpointListKind.CACHED, Harness.fleet(8));
        for (int step = 0; step < 4000; step++) {
            applyRandomEvent(step);
            timeOutAttempts();
            checkSends();
            checkAnswers();
            assertNull(checker.unansweredViolation(harness.now));
        }
        assertEquals(0, harness.duplicateFinalAnswers);
        assertTrue(checkedSends > 800, "too few attempts to check: " + checkedSends);
    }

    private void applyRandomEvent(int step) {
        int event = random.nextInt(100);
        List<Harness.Sent> inFlight =
                harness.sends.stream().filter(s -> !s.ended).toList();
        if (event < 40) {
            request("r" + step);
        } else if (event < 80 && !inFlight.isEmpty()) {
            Harness.Sent sent = inFlight.get(random.nextInt(inFlight.size()));
            AttemptOutcome[] all = AttemptOutcome.values();
            end(sent, random.nextInt(3) > 0 ? AttemptOutcome.OK : all[random.nextInt(all.length - 1)]);
        } else if (event < 84) {
            String id = "s" + random.nextInt(8);
            endpoints.computeIfPresent(
                    id, (same, endpoint) -> endpoint.withState(EndpointState.values()[random.nextInt(3)]));
            harness.list(EndpointListKind.DELTA, List.of(endpoints.get(id)));
        } else {
            harness.advance(random.nextLong(20_000));
        }
    }

    private void request(String id) {
        RequestClass requestClass = CLASSES.get(random.nextInt(CLASSES.size()));
        long timeLeft = 100_000 + random.nextLong(2_000_000);
        checker.arrived(id, requestClass, harness.now + timeLeft);
        harness.request(id, CLASSES.indexOf(requestClass), 0, timeLeft);
    }

    private void timeOutAttempts() {
        for (Harness.Sent sent : new ArrayList<>(harness.sends)) {
            if (!sent.ended && harness.now >= checker.requests.get(sent.request).deadline) {
                checkSends();
                end(sent, AttemptOutcome.TIMEOUT);
            }
        }
    }

    private void end(Harness.Sent sent, AttemptOutcome outcome) {
        checker.requests.get(sent.request).outcomes.set(sent.attempt, outcome);
        harness.end(sent, outcome);
    }

    private void checkSends() {
        for (; checkedSends < harness.sends.size(); checkedSends++) {
            Harness.Sent sent = harness.sends.get(checkedSends);
            Endpoint target = endpoints.get(sent.endpoint);
            boolean usable = target.state() == EndpointState.UP;
            assertNull(checker.sent(sent.request, target, usable, sent.sentAt), sent.request);
        }
    }

    private void checkAnswers() {
        List<String> ids = List.copyOf(harness.finalAnswers.keySet());
        for (; checkedAnswers < ids.size(); checkedAnswers++) {
            String id = ids.get(checkedAnswers);
            assertNull(checker.answered(id, harness.finalAnswers.get(id), harness.now));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void endpointsInSlowStartAreNotOverloadedByRandomTraffic(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PolicySettings settings = Harness.settings(Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL));
        Harness harness = new Harness(settings, seed).list(EndpointListKind.CACHED, Harness.fleet(5));
        long startedAt = 0;
        for (int i = 0; i < 1500; i++) { // 40 answers per second from each of 5 endpoints
            if (i == 500) {
                harness.list(
                        EndpointListKind.DELTA,
                        List.of(new Endpoint("cold", EndpointState.UP, harness.now, 1, 0, 0, 0)));
            }
            for (int j = 0; j < 4; j++) {
                harness.request("x" + i + "/" + j, 0);
            }
            harness.advance(10_000 + random.nextLong(20_000));
            harness.sends.stream()
                    .filter(s -> !s.ended && harness.now - s.sentAt >= 30_000)
                    .toList()
                    .forEach(s -> harness.end(s, AttemptOutcome.OK));
            startedAt = i < 500 ? harness.now : startedAt;
        }
        List<Long> sends = harness.sends.stream()
                .filter(s -> s.endpoint.equals("cold"))
                .map(s -> s.sentAt)
                .toList();
        assertTrue(sends.size() > 20, "too few attempts at the endpoint: " + sends.size());
        assertNull(slowStartViolation(sends, startedAt, 40, settings.bounds()));
    }
}
