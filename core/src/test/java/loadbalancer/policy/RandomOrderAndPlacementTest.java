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

/** Checks ordered delivery and placement over random legal sequences of events. */
class RandomOrderAndPlacementTest {
    private static final List<RequestClass> CLASSES = List.of(
            Harness.requestClass(Idempotency.IDEMPOTENT, true, Set.of(), Set.of()),
            Harness.requestClass(Idempotency.NON_IDEMPOTENT, true, Set.of(0), Set.of()),
            Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, false, Set.of(), Set.of(1)),
            Harness.requestClass(Idempotency.IDEMPOTENT, false, Set.of(1), Set.of(0)));

    /** Tracks the requests of each key in the order of arrival, and returns the rule that a send violates, or null. */
    private static final class RuleChecker {
        private final Map<String, List<String>> requestsOfKey = new LinkedHashMap<>();
        private final Map<String, String> keyOf = new LinkedHashMap<>();
        private final Map<String, Integer> attemptsInFlight = new LinkedHashMap<>();
        private final Map<String, Boolean> answered = new LinkedHashMap<>();
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
                if (!answered.getOrDefault(earlier, false) || attemptsInFlight.getOrDefault(earlier, 0) > 0) {
                    return id + " was sent before " + earlier + " ended";
                }
                if (pausedUntil.getOrDefault(earlier, 0L) > now) {
                    return id + " was sent while the key pauses after " + earlier;
                }
            }
            attemptsInFlight.merge(id, 1, Integer::sum);
            return null;
        }

        static String placementViolation(RequestClass requestClass, Endpoint endpoint) {
            boolean zoneAllowed =
                    requestClass.zones().isEmpty() || requestClass.zones().contains(endpoint.zone());
            boolean machineKindAllowed = requestClass.machineKinds().isEmpty()
                    || requestClass.machineKinds().contains(endpoint.machineKind());
            return zoneAllowed && machineKindAllowed
                    ? null
                    : "sent to " + endpoint.id() + ", which the class does not allow";
        }
    }

    @Test
    void theCheckerDetectsViolations() {
        RuleChecker checker = new RuleChecker();
        checker.arrived("a", "k");
        checker.arrived("b", "k");
        assertEquals(null, checker.sent("a", 0));
        assertTrue(checker.sent("b", 1).contains("before a ended"));
        checker.answered.put("a", true);
        assertTrue(checker.sent("b", 1).contains("before a ended"), "an attempt of a is still in flight");
        checker.ended("a", AttemptOutcome.TIMEOUT, 2);
        assertTrue(checker.sent("b", 3).contains("pauses"));
        assertEquals(null, checker.sent("b", 2 + Harness.KEY_SEQUENCE_PAUSE_MICROS));
        RequestClass placed = Harness.requestClass(Idempotency.IDEMPOTENT, false, Set.of(1), Set.of(0));
        assertTrue(RuleChecker.placementViolation(placed, new Endpoint("s", EndpointState.UP, 0, 1, 0, 0, 0)) != null);
        assertTrue(RuleChecker.placementViolation(placed, new Endpoint("s", EndpointState.UP, 0, 1, 0, 1, 1)) != null);
        assertEquals(null, RuleChecker.placementViolation(placed, new Endpoint("s", EndpointState.UP, 0, 1, 0, 0, 1)));
    }

    private final RuleChecker checker = new RuleChecker();
    private final Map<String, Integer> classOf = new LinkedHashMap<>();
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private SplittableRandom random;
    private Harness harness;
    private int checkedSends;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsViolateNeitherOrderNorPlacement(long seed) {
        random = new SplittableRandom(seed);
        harness = new Harness(Harness.settings(CLASSES.toArray(new RequestClass[0])), seed);
        for (int i = 0; i < 8; i++) {
            endpoints.put("s" + i, new Endpoint("s" + i, EndpointState.UP, 0, 1, 0, i / 2 % 2, i % 2));
        }
        harness.list(EndpointListKind.CACHED, List.copyOf(endpoints.values()));
        for (int step = 0; step < 3000; step++) {
            applyRandomEvent(step);
            checkSends();
        }
        assertTrue(checkedSends > 500, "too few attempts to check: " + checkedSends);
    }

    private void applyRandomEvent(int step) {
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
            disconnectClient(List.copyOf(classOf.keySet()).get(random.nextInt(classOf.size())));
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
            checker.answered.put(sent.request, true);
        }
        harness.end(sent, outcome);
        checkSends();
    }

    private void disconnectClient(String id) {
        if (harness.finalAnswers.putIfAbsent(id, "gone") == null) {
            checker.answered.put(id, true);
            harness.policy.clientGone(harness.now, id, harness);
        }
    }

    private void checkSends() {
        harness.finalAnswers.keySet().forEach(id -> checker.answered.put(id, true));
        for (; checkedSends < harness.sends.size(); checkedSends++) {
            Harness.Sent sent = harness.sends.get(checkedSends);
            assertEquals(null, checker.sent(sent.request, sent.sentAt));
            RequestClass requestClass = CLASSES.get(classOf.get(sent.request));
            assertEquals(null, RuleChecker.placementViolation(requestClass, endpoints.get(sent.endpoint)));
        }
    }
}
