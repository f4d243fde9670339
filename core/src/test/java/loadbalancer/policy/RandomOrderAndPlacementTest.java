package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Ordered delivery and placement over random legal sequences of events, checked by a rule checker. */
class RandomOrderAndPlacementTest {
    private static final List<RequestClass> CLASSES = List.of(
            Harness.requestClass(Idempotency.IDEMPOTENT, true, Set.of(), Set.of()),
            Harness.requestClass(Idempotency.NON_IDEMPOTENT, true, Set.of(0), Set.of()),
            Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, false, Set.of(), Set.of(1)),
            Harness.requestClass(Idempotency.IDEMPOTENT, false, Set.of(1), Set.of(0)));

    /** Knows the requests of each key in the order of arrival; says which rule a send violates, or null. */
    private static final class RuleChecker {
        private final Map<String, List<String>> requestsOfKey = new LinkedHashMap<>();
        private final Map<String, String> keyOf = new LinkedHashMap<>();
        private final Map<String, Integer> attemptsInFlight = new LinkedHashMap<>();
        private final Map<String, Boolean> over = new LinkedHashMap<>();
        private final Map<String, Long> pausedUntil = new LinkedHashMap<>();

        void arrived(String id, String key) {
            requestsOfKey.computeIfAbsent(key, k -> new ArrayList<>()).add(id);
            keyOf.put(id, key);
        }

        void ended(String id, AttemptOutcome outcome, long now) {
            attemptsInFlight.merge(id, -1, Integer::sum);
            if (Set.of(AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED)
                    .contains(outcome)) {
                pausedUntil.put(id, now + Harness.KEY_SEQUENCE_PAUSE_MICROS);
            }
        }

        String sent(String id, long now) {
            String key = keyOf.get(id);
            for (String earlier : key == null ? List.<String>of() : requestsOfKey.get(key)) {
                if (earlier.equals(id)) {
                    break;
                }
                if (!over.getOrDefault(earlier, false) || attemptsInFlight.getOrDefault(earlier, 0) > 0) {
                    return id + " was sent before " + earlier + " was over";
                }
                if (pausedUntil.getOrDefault(earlier, 0L) > now) {
                    return id + " was sent while the key rests after " + earlier;
                }
            }
            attemptsInFlight.merge(id, 1, Integer::sum);
            return null;
        }

        static String placed(RequestClass requestClass, Endpoint endpoint) {
            boolean zone =
                    requestClass.zones().isEmpty() || requestClass.zones().contains(endpoint.zone());
            boolean machine = requestClass.machineKinds().isEmpty()
                    || requestClass.machineKinds().contains(endpoint.machineKind());
            return zone && machine ? null : "sent to " + endpoint.id() + ", which is not open to the class";
        }
    }

    @Test
    void theCheckerCatchesViolations() {
        RuleChecker checker = new RuleChecker();
        checker.arrived("a", "k");
        checker.arrived("b", "k");
        assertEquals(null, checker.sent("a", 0));
        assertTrue(checker.sent("b", 1).contains("before a was over"));
        checker.over.put("a", true);
        assertTrue(checker.sent("b", 1).contains("before a was over"), "an attempt is still in flight");
        checker.ended("a", AttemptOutcome.TIMEOUT, 2);
        assertTrue(checker.sent("b", 3).contains("rests"));
        assertEquals(null, checker.sent("b", 2 + Harness.KEY_SEQUENCE_PAUSE_MICROS));
        RequestClass bound = Harness.requestClass(Idempotency.IDEMPOTENT, false, Set.of(1), Set.of(0));
        assertTrue(RuleChecker.placed(bound, new Endpoint("s", EndpointState.UP, 0, 1, 0, 0, 0)) != null);
        assertTrue(RuleChecker.placed(bound, new Endpoint("s", EndpointState.UP, 0, 1, 0, 1, 1)) != null);
        assertEquals(null, RuleChecker.placed(bound, new Endpoint("s", EndpointState.UP, 0, 1, 0, 0, 1)));
    }

    private final RuleChecker checker = new RuleChecker();
    private final Map<String, Integer> classOf = new LinkedHashMap<>();
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private SplittableRandom random;
    private Harness harness;
    private int checkedSends;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsKeepOrderAndPlacement(long seed) {
        random = new SplittableRandom(seed);
        harness = new Harness(Harness.settings(CLASSES.toArray(new RequestClass[0])), seed);
        for (int i = 0; i < 8; i++) {
            endpoints.put("s" + i, new Endpoint("s" + i, EndpointState.UP, 0, 1, 0, i / 2 % 2, i % 2));
        }
        harness.list(EndpointListKind.CACHED, List.copyOf(endpoints.values()));
        for (int step = 0; step < 3000; step++) {
            happen(step);
            checkSends();
        }
        assertTrue(checkedSends > 500, "enough was sent: " + checkedSends);
    }

    private void happen(int step) {
        int event = random.nextInt(100);
        String key = "k" + random.nextInt(6);
        if (event < 40) {
            request("r" + step, key);
        } else if (event < 80) {
            endAnAttempt();
        } else if (event < 84) {
            Endpoint endpoint = endpoints.get("s" + random.nextInt(8));
            EndpointState state = EndpointState.values()[random.nextInt(3)];
            harness.list(EndpointListKind.DELTA, List.of(endpoint.withState(state)));
        } else if (event < 86 && !classOf.isEmpty()) {
            leave(List.copyOf(classOf.keySet()).get(random.nextInt(classOf.size())));
        } else {
            harness.advance(random.nextLong(40_000));
        }
    }

    private void request(String id, String key) {
        int classIndex = random.nextInt(CLASSES.size());
        classOf.put(id, classIndex);
        if (CLASSES.get(classIndex).orderedDelivery()) {
            checker.arrived(id, key);
        }
        harness.request(id, classIndex, 0, key, 500_000 + random.nextLong(2_000_000), false);
    }

    private void endAnAttempt() {
        List<Harness.Sent> inFlight =
                harness.sends.stream().filter(s -> !s.ended).toList();
        if (inFlight.isEmpty()) {
            return;
        }
        Harness.Sent sent = inFlight.get(random.nextInt(inFlight.size()));
        AttemptOutcome[] all = AttemptOutcome.values();
        AttemptOutcome outcome = random.nextInt(3) > 0 ? AttemptOutcome.OK : all[random.nextInt(all.length - 1)];
        checker.ended(sent.request, outcome, harness.now);
        if (outcome == AttemptOutcome.OK) {
            checker.over.put(sent.request, true);
        }
        harness.end(sent, outcome);
        checkSends();
    }

    private void leave(String id) {
        if (harness.finalAnswers.putIfAbsent(id, "gone") == null) {
            checker.over.put(id, true);
            harness.policy.clientGone(harness.now, id, harness);
        }
    }

    private void checkSends() {
        harness.finalAnswers.keySet().forEach(id -> checker.over.put(id, true));
        for (; checkedSends < harness.sends.size(); checkedSends++) {
            Harness.Sent sent = harness.sends.get(checkedSends);
            assertEquals(null, checker.sent(sent.request, sent.sentAt));
            RequestClass requestClass = CLASSES.get(classOf.get(sent.request));
            assertEquals(null, RuleChecker.placed(requestClass, endpoints.get(sent.endpoint)));
        }
    }
}
