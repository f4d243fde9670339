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

/** The safety rules over random legal events, checked by a rule checker that is itself shown to catch violations. */
class RandomSafetyRulesTest {
    private static final List<RequestClass> CLASSES = List.of(
            Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL),
            Harness.requestClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL),
            Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, KeyScope.ALL),
            Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, KeyScope.CELL),
            Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, KeyScope.ZONE));

    private static final long SLACK = 20_000;

    /** What is known of one request. */
    private static final class Known {
        RequestClass requestClass;
        long deadline;
        String answer;
        final List<Endpoint> targets = new ArrayList<>();
        final List<Long> sentAt = new ArrayList<>();
        final List<AttemptOutcome> outcomes = new ArrayList<>(); // null while in flight
    }

    /** Is handed what happens in its order; each call says which rule is violated, or null. */
    private static final class RuleChecker {
        private final Map<String, Known> requests = new HashMap<>();

        void arrived(String id, RequestClass requestClass, long deadline) {
            Known known = new Known();
            known.requestClass = requestClass;
            known.deadline = deadline;
            requests.put(id, known);
        }

        String sent(String id, Endpoint target, boolean usable, long now) {
            Known known = requests.get(id);
            if (known.answer != null) {
                return "sent after its answer";
            }
            if (!usable) {
                return "sent to a draining or gone endpoint";
            }
            for (int i = 0; i < known.outcomes.size(); i++) {
                if (mayHaveRun(known.outcomes.get(i))) {
                    String violation = repeated(known, i, target, now);
                    if (violation != null) {
                        return violation;
                    }
                }
            }
            known.targets.add(target);
            known.sentAt.add(now);
            known.outcomes.add(null);
            return null;
        }

        private static boolean mayHaveRun(AttemptOutcome outcome) {
            return outcome == null || !outcome.neverRan();
        }

        private static String repeated(Known known, int earlier, Endpoint target, long now) {
            RequestClass requestClass = known.requestClass;
            if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
                return "a non-idempotent effect may happen twice";
            }
            Endpoint former = known.targets.get(earlier);
            boolean outside = requestClass.scope() == KeyScope.CELL && former.cell() != target.cell()
                    || requestClass.scope() == KeyScope.ZONE && former.zone() != target.zone();
            boolean expired = now - known.sentAt.get(earlier) >= requestClass.keyRetentionMicros();
            return requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && (outside || expired)
                    ? "a request with an idempotency key left its group or window"
                    : null;
        }

        String answered(String id, String answer, long now) {
            Known known = requests.get(id);
            if (known.answer != null) {
                return "answered twice";
            }
            known.answer = answer;
            if (now > known.deadline + SLACK) {
                return "answered too late";
            }
            RequestClass requestClass = known.requestClass;
            boolean harmless = requestClass.idempotency() == Idempotency.IDEMPOTENT
                    || requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                            && requestClass.scope() == KeyScope.ALL;
            boolean mayHaveRun = known.outcomes.stream().anyMatch(RuleChecker::mayHaveRun);
            return answer.equals("refused") && mayHaveRun && !harmless ? "refused though it may have run" : null;
        }

        String atTheEnd(long now) {
            return requests.values().stream().anyMatch(k -> k.answer == null && now > k.deadline + SLACK)
                    ? "a request was lost"
                    : null;
        }
    }

    /** The window with too many sends to an endpoint in slow start, against the budget of all balancers; or null. */
    static String slowStartViolation(List<Long> sends, long started, double warmPerSecond, SafetyBounds bounds) {
        for (int i = 0; i < sends.size(); i++) {
            long from = sends.get(i);
            double weight = bounds.slowStartInitialWeight()
                    + (1 - bounds.slowStartInitialWeight()) * (from - started) / bounds.slowStartDurationMicros();
            long until = from + bounds.overloadWindowMicros();
            long count = sends.stream().filter(t -> t >= from && t < until).count();
            double max = bounds.overloadFactor() * weight * warmPerSecond * bounds.overloadWindowMicros() / 1e6 + 2;
            if (count > max && from - started < bounds.slowStartDurationMicros()) {
                return count + " sends in a window that bears " + max;
            }
        }
        return null;
    }

    @Test
    void theCheckerCatchesEveryKindOfViolation() {
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
        assertTrue(checker.sent("k", two, true, 0).contains("group"));
        assertTrue(checker.sent("k", one, true, 2_000_000).contains("window"));
        assertTrue(checker.atTheEnd(100 + SLACK + 1).contains("lost"));
        assertTrue(checker.answered("k", "failed", 100 + SLACK + 1).contains("too late"));
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
    void randomEventsKeepTheRules(long seed) {
        random = new SplittableRandom(seed);
        harness = new Harness(Harness.settings(CLASSES.toArray(new RequestClass[0])), seed);
        Harness.fleet(8).forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        harness.list(EndpointListKind.CACHED, Harness.fleet(8));
        for (int step = 0; step < 4000; step++) {
            happen(step);
            timeOutAttempts();
            checkSends();
            checkAnswers();
            assertNull(checker.atTheEnd(harness.now));
        }
        assertEquals(0, harness.duplicateFinalAnswers);
        assertTrue(checkedSends > 800, "enough was sent: " + checkedSends);
    }

    private void happen(int step) {
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
            endpoints.computeIfPresent(id, (i, s) -> s.withState(EndpointState.values()[random.nextInt(3)]));
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
    void endpointsInSlowStartBearWhatRandomTrafficSends(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PolicySettings settings = Harness.settings(Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL));
        Harness harness = new Harness(settings, seed).list(EndpointListKind.CACHED, Harness.fleet(5));
        long started = 0;
        for (int i = 0; i < 1500; i++) { // 40 answers a second from each of 5
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
            started = i < 500 ? harness.now : started;
        }
        List<Long> sends = harness.sends.stream()
                .filter(s -> s.endpoint.equals("cold"))
                .map(s -> s.sentAt)
                .toList();
        assertTrue(sends.size() > 20, "it is used: " + sends.size());
        assertNull(slowStartViolation(sends, started, 40, settings.bounds()));
    }
}
