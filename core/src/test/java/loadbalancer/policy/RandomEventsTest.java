package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the safety rules over random sequences of unusual but legal events: late outcomes, lists that are stale, empty
 * or partial, restarts of endpoints, and clients that disconnect.
 */
class RandomEventsTest {
    private static final int STEPS = 6000;
    private static final List<RequestClass> CLASSES = List.of(
            Harness.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL),
            Harness.requestClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL),
            Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, KeyScope.ALL),
            Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, KeyScope.CELL),
            Harness.requestClass(Idempotency.IDEMPOTENT_WITH_KEY, KeyScope.ZONE));

    private final Map<String, Long> deadlines = new TreeMap<>();
    private final Map<String, Integer> classOf = new TreeMap<>();
    private final Map<String, Long> unusableSince = new TreeMap<>();
    private final Map<String, Map<Integer, AttemptOutcome>> outcomes = new TreeMap<>();
    private final List<String> clientGone = new ArrayList<>();
    private SplittableRandom random;
    private Harness harness;
    private boolean hedging;
    private int checkedSends;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void randomEventsViolateNoRule(long seed) {
        start(seed);
        for (int step = 0; step < STEPS; step++) {
            applyRandomEvent(step);
            timeOutAttempts();
            checkSends();
        }
        harness.advance(Harness.DEADLINE_MICROS + 100_000);
        for (Harness.Sent sent : new ArrayList<>(harness.sends)) {
            if (!sent.ended) {
                harness.end(sent, AttemptOutcome.TIMEOUT);
            }
        }
        harness.advance(Harness.DEADLINE_MICROS + 100_000);
        assertEquals(0, harness.duplicateFinalAnswers);
        for (String id : deadlines.keySet()) {
            assertTrue(harness.finalAnswers.containsKey(id), "no answer for " + id);
        }
    }

    private void start(long seed) {
        random = new SplittableRandom(seed);
        hedging = random.nextBoolean();
        harness = new Harness(
                Harness.settings(
                        1 + random.nextInt(4),
                        hedging,
                        random.nextBoolean() ? DiscoveryMode.POLL : DiscoveryMode.PUSH,
                        List.of(new TenantQuota(5), new TenantQuota(50)),
                        CLASSES.toArray(new RequestClass[0])),
                seed);
        harness.list(EndpointListKind.CACHED, Harness.fleet(random.nextInt(8)));
    }

    private void applyRandomEvent(int step) {
        int event = random.nextInt(100);
        if (event < 45) {
            request("r" + step);
        } else if (event < 88) {
            endAnAttempt();
        } else if (event < 90 && !deadlines.isEmpty()) {
            disconnectClient("r" + random.nextInt(step + 1));
        } else if (event < 93) {
            changeAnEndpoint();
        } else if (event < 94) {
            harness.list(EndpointListKind.UNAVAILABLE, List.of());
        } else {
            harness.advance(random.nextLong(60_000));
        }
    }

    private void request(String id) {
        int classIndex = random.nextInt(CLASSES.size());
        long timeLeft = random.nextInt(10) == 0 ? random.nextLong(30_000) : 200_000 + random.nextLong(2_800_000);
        deadlines.put(id, harness.now + timeLeft);
        classOf.put(id, classIndex);
        harness.request(id, classIndex, random.nextInt(2), timeLeft);
    }

    private void endAnAttempt() {
        List<Harness.Sent> inFlight =
                harness.sends.stream().filter(s -> !s.ended).toList();
        if (inFlight.isEmpty()) {
            return;
        }
        Harness.Sent sent = inFlight.get(random.nextInt(inFlight.size()));
        AttemptOutcome[] all = AttemptOutcome.values();
        AttemptOutcome outcome = random.nextInt(3) > 0 ? AttemptOutcome.OK : all[random.nextInt(all.length)];
        if (outcome == AttemptOutcome.OK && clientGone.contains(sent.request)) {
            outcome = AttemptOutcome.CANCELLED;
        }
        end(sent, outcome);
    }

    private void end(Harness.Sent sent, AttemptOutcome outcome) {
        outcomes.computeIfAbsent(sent.request, k -> new TreeMap<>()).put(sent.attempt, outcome);
        harness.end(sent, outcome);
    }

    private void disconnectClient(String id) {
        if (deadlines.containsKey(id) && !harness.finalAnswers.containsKey(id)) {
            harness.finalAnswers.put(id, "gone");
            clientGone.add(id);
            harness.policy.clientGone(harness.now, id, harness);
        }
    }

    private void changeAnEndpoint() {
        String id = "s" + random.nextInt(8);
        EndpointState state = EndpointState.values()[random.nextInt(3)];
        long startedAt = random.nextBoolean() ? 0 : harness.now - random.nextLong(5_000_000);
        Endpoint endpoint = new Endpoint(
                id, state, startedAt, 1 + random.nextInt(3), random.nextInt(2), random.nextInt(2), random.nextInt(2));
        harness.list(EndpointListKind.DELTA, List.of(endpoint));
        if (state == EndpointState.UP) {
            unusableSince.remove(id);
        } else {
            unusableSince.put(id, harness.now);
        }
    }

    // Ends attempts at their own timeout or at the deadline of their request, as the balancer does.
    private void timeOutAttempts() {
        for (Harness.Sent sent : new ArrayList<>(harness.sends)) {
            long deadline = deadlines.get(sent.request);
            long until = sent.timeout > 0 ? Math.min(sent.sentAt + sent.timeout, deadline) : deadline;
            if (!sent.ended && harness.now >= until) {
                end(sent, AttemptOutcome.TIMEOUT);
            }
        }
    }

    private void checkSends() {
        for (; checkedSends < harness.sends.size(); checkedSends++) {
            Harness.Sent sent = harness.sends.get(checkedSends);
            Long since = unusableSince.get(sent.endpoint);
            assertTrue(
                    since == null || sent.sentAt <= since,
                    "sent to an endpoint that is draining or gone: " + sent.endpoint);
            checkRetrySafety(sent, CLASSES.get(classOf.get(sent.request)));
        }
    }

    private void checkRetrySafety(Harness.Sent sent, RequestClass requestClass) {
        for (Harness.Sent earlier : harness.sentFor(sent.request)) {
            if (earlier.attempt >= sent.attempt) {
                continue;
            }
            AttemptOutcome outcome =
                    outcomes.getOrDefault(sent.request, Map.of()).get(earlier.attempt);
            boolean inFlight = outcome == null;
            assertTrue(hedging || !inFlight, "two attempts in flight although hedging is not allowed");
            if (inFlight || !outcome.neverRan()) {
                assertTrue(
                        requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
                        "a non-idempotent request was sent twice");
                assertTrue(
                        requestClass.idempotency() != Idempotency.IDEMPOTENT_WITH_KEY
                                || sent.sentAt - earlier.sentAt < requestClass.keyRetentionMicros(),
                        "sent after the retention of its idempotency key");
            }
            assertTrue(outcome != AttemptOutcome.OK, "sent after a successful answer");
        }
    }
}
