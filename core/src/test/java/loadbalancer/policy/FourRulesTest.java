package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The four rules, class kind by class kind, and over random but legal sequences of events. */
class FourRulesTest {
    private static final RequestClass NON_IDEMPOTENT = Harness.kind(Idempotency.NON_IDEMPOTENT, KeyScope.ALL);
    private static final RequestClass IDEMPOTENT = Harness.kind(Idempotency.IDEMPOTENT, KeyScope.ALL);

    private static Harness warm(RequestClass kind) {
        Harness harness = new Harness(Harness.settings(kind), 5).list(EndpointListKind.CACHED, Harness.fleet(6));
        harness.warmUp(60, 0, 40_000);
        return harness;
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
    void anUnsafeRequestThatMayHaveRunFails(AttemptOutcome outcome) {
        Harness harness = warm(NON_IDEMPOTENT);
        harness.end(harness.request("r", 0), outcome);
        assertEquals("failed", harness.finals.get("r"));
        assertEquals(1, harness.sentFor("r").size());
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"FULL", "CONNECT_FAILED"})
    void anUnsafeRequestThatNeverRanGoesElsewhere(AttemptOutcome outcome) {
        Harness harness = warm(NON_IDEMPOTENT);
        Harness.Sent first = harness.request("r", 0);
        harness.end(first, outcome);
        assertEquals(2, harness.sentFor("r").size());
        assertFalse(harness.sentFor("r").get(1).endpoint.equals(first.endpoint));
    }

    @Test
    void anUnsafeRequestGetsNoSecondCopy() {
        Harness harness = warm(NON_IDEMPOTENT);
        harness.request("r", 0);
        harness.pass(Harness.DEADLINE - 100_000);
        assertEquals(1, harness.sentFor("r").size());
    }

    @Test
    void noSecondCopyWhereTheSiteForbidsIt() {
        Harness harness = new Harness(Harness.settings(1, false, DiscoveryMode.PUSH, List.of(), IDEMPOTENT), 5)
                .list(EndpointListKind.CACHED, Harness.fleet(6));
        harness.warmUp(60, 0, 40_000);
        Harness.Sent first = harness.request("r", 0);
        assertEquals(0, first.timeout, "what may be repeated is not cut: its work would be done twice");
        harness.pass(Harness.LATENCY_OBJECTIVE);
        assertEquals(1, harness.sentFor("r").size());
    }

    @ParameterizedTest
    @EnumSource(KeyScope.class)
    void aKeyedRequestStaysWithinTheGroupThatRemembersIt(KeyScope scope) {
        for (int seed = 0; seed < 20; seed++) {
            Harness harness = new Harness(Harness.settings(Harness.kind(Idempotency.IDEMPOTENT_WITH_KEY, scope)), seed)
                    .list(EndpointListKind.CACHED, Harness.fleet(6));
            harness.warmUp(40, 0, 40_000);
            Harness.Sent first = harness.request("r", 0);
            harness.end(first, AttemptOutcome.ERROR);
            Harness.Sent second = harness.sentFor("r").get(1);
            if (scope != KeyScope.ALL) { // cell and zone alternate over the fleet
                assertEquals(first.endpoint.charAt(1) % 2, second.endpoint.charAt(1) % 2);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(KeyScope.class)
    void aKeyedRequestIsNotSentAgainAfterItsWindow(KeyScope scope) {
        Harness harness = warm(Harness.kind(Idempotency.IDEMPOTENT_WITH_KEY, scope));
        Harness.Sent first = harness.request("r", 0);
        harness.pass(2_500_000); // the window is 2 s from the first send
        for (Harness.Sent copy : harness.sentFor("r")) {
            assertTrue(copy.sentAt - first.sentAt < 2_000_000);
        }
        int before = harness.sentFor("r").size();
        harness.sentFor("r").forEach(s -> harness.end(s, AttemptOutcome.ERROR));
        harness.pass(1_000_000);
        assertEquals(before, harness.sentFor("r").size());
        assertEquals(scope == KeyScope.ALL ? "refused" : "failed", harness.finals.get("r"));
    }

    @Test
    void nothingNewGoesToADrainingOrGoneServer() {
        Harness harness = new Harness(Harness.settings(IDEMPOTENT), 1).list(EndpointListKind.CACHED, Harness.fleet(3));
        harness.list(EndpointListKind.DELTA, List.of(new Endpoint("s0", EndpointState.DRAINING, 0, 1, 0, 0, 0)));
        harness.list(EndpointListKind.DELTA, List.of(new Endpoint("s1", EndpointState.GONE, 0, 1, 1, 1, 1)));
        for (int i = 0; i < 30; i++) {
            Harness.Sent sent = harness.request("r" + i, 0);
            assertEquals("s2", sent.endpoint);
            harness.pass(30_000);
            harness.end(sent, AttemptOutcome.OK);
        }
        harness.list(EndpointListKind.SNAPSHOT, List.of(Harness.up("s1")));
        assertEquals("s1", harness.request("x", 0).endpoint, "missing in a complete list is gone");
    }

    @Test
    void everyRequestIsAnsweredWhenNoServerIsListed() {
        Harness harness =
                new Harness(Harness.settings(IDEMPOTENT, NON_IDEMPOTENT), 1).list(EndpointListKind.CACHED, List.of());
        assertNull(harness.request("a", 0));
        assertNull(harness.request("b", 1, 0, 6_000));
        harness.pass(30_000);
        assertTrue(harness.finals.containsKey("b"), "a nearly spent request is answered at once");
        harness.pass(Harness.DEADLINE);
        assertEquals("refused", harness.finals.get("a"));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 8})
    void aColdServerGetsLessThanItsPart(int balancers) {
        // One warm server gives 50 answers a second to this balancer; the cold one may take its part of that.
        PolicySettings settings = Harness.settings(balancers, true, DiscoveryMode.PUSH, List.of(), IDEMPOTENT);
        Harness harness = new Harness(settings, 1).list(EndpointListKind.CACHED, Harness.fleet(4));
        harness.warmUp(300, 0, 20_000);
        harness.list(EndpointListKind.DELTA, List.of(new Endpoint("cold", EndpointState.UP, harness.now, 1, 0, 0, 0)));
        long born = harness.now;
        harness.warmUp(150, 0, 20_000);
        long sent = harness.sentTo("cold", born);
        double seconds = (harness.now - born) / 1e6;
        double part = 0.2 + 0.8 * seconds / 20; // at the end; less before
        assertTrue(sent <= 50.0 / 4 * part * 2.5 * seconds, sent + " in " + seconds + " s");
    }

    @Test
    void aRestartUnderTheSameIdIsColdAgain() {
        Harness harness = new Harness(Harness.settings(IDEMPOTENT), 1).list(EndpointListKind.CACHED, Harness.fleet(2));
        harness.warmUp(100, 0, 20_000);
        harness.list(EndpointListKind.DELTA, List.of(new Endpoint("s0", EndpointState.UP, harness.now, 1, 0, 0, 0)));
        long restarted = harness.now;
        harness.warmUp(50, 0, 20_000);
        long cold = harness.sentTo("s0", restarted);
        assertTrue(cold < 15, "a cold server took " + cold + " of 50");
    }

    /** Odd but legal: late outcomes, lists that are stale, empty or partial, restarts, clients that leave. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void randomEventsKeepTheRules(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RequestClass> kinds = List.of(
                IDEMPOTENT,
                NON_IDEMPOTENT,
                Harness.kind(Idempotency.IDEMPOTENT_WITH_KEY, KeyScope.ALL),
                Harness.kind(Idempotency.IDEMPOTENT_WITH_KEY, KeyScope.CELL),
                Harness.kind(Idempotency.IDEMPOTENT_WITH_KEY, KeyScope.ZONE));
        boolean copies = random.nextBoolean();
        Harness harness = new Harness(
                Harness.settings(
                        1 + random.nextInt(4),
                        copies,
                        random.nextBoolean() ? DiscoveryMode.POLL : DiscoveryMode.PUSH,
                        List.of(new TenantQuota(5), new TenantQuota(50)),
                        kinds.toArray(new RequestClass[0])),
                seed);
        Map<String, Endpoint> truth = new TreeMap<>();
        Map<String, Long> deadlines = new TreeMap<>();
        Map<String, Integer> classOf = new TreeMap<>();
        Map<String, Long> unusable = new TreeMap<>();
        Map<String, Map<Integer, AttemptOutcome>> ended = new TreeMap<>();
        List<String> gone = new ArrayList<>();
        harness.list(EndpointListKind.CACHED, Harness.fleet(random.nextInt(8)));
        Harness.fleet(8).forEach(s -> truth.put(s.id(), s));
        int checked = 0;
        for (int step = 0; step < 6000; step++) {
            int what = random.nextInt(100);
            if (what < 45) {
                String id = "r" + step;
                int kind = random.nextInt(kinds.size());
                long left = random.nextInt(10) == 0 ? random.nextLong(30_000) : 200_000 + random.nextLong(2_800_000);
                deadlines.put(id, harness.now + left);
                classOf.put(id, kind);
                harness.request(id, kind, random.nextInt(2), left);
            } else if (what < 88) {
                List<Harness.Sent> out =
                        harness.sends.stream().filter(s -> !s.ended).toList();
                if (!out.isEmpty()) {
                    Harness.Sent sent = out.get(random.nextInt(out.size()));
                    AttemptOutcome[] all = AttemptOutcome.values();
                    AttemptOutcome outcome =
                            random.nextInt(3) > 0 ? AttemptOutcome.OK : all[random.nextInt(all.length)];
                    if (outcome == AttemptOutcome.OK && gone.contains(sent.request)) {
                        outcome = AttemptOutcome.CANCELLED;
                    }
                    ended.computeIfAbsent(sent.request, k -> new TreeMap<>()).put(sent.attempt, outcome);
                    harness.end(sent, outcome);
                }
            } else if (what < 90 && !deadlines.isEmpty()) {
                String id = "r" + random.nextInt(step + 1);
                if (deadlines.containsKey(id) && !harness.finals.containsKey(id)) {
                    harness.finals.put(id, "gone");
                    gone.add(id);
                    harness.policy.clientGone(harness.now, id, harness);
                }
            } else if (what < 93) {
                String id = "s" + random.nextInt(8);
                EndpointState state = EndpointState.values()[random.nextInt(3)];
                long started = random.nextBoolean() ? 0 : harness.now - random.nextLong(5_000_000);
                Endpoint s = new Endpoint(
                        id,
                        state,
                        started,
                        1 + random.nextInt(3),
                        random.nextInt(2),
                        random.nextInt(2),
                        random.nextInt(2));
                truth.put(id, s);
                harness.list(EndpointListKind.DELTA, List.of(s));
                if (state == EndpointState.UP) {
                    unusable.remove(id);
                } else {
                    unusable.put(id, harness.now);
                }
            } else if (what < 94) {
                harness.list(EndpointListKind.UNAVAILABLE, List.of());
            } else {
                harness.pass(random.nextLong(60_000));
            }
            // Attempts whose own time-out or request's deadline has come end then, as on the wire.
            for (Harness.Sent s : new ArrayList<>(harness.sends)) {
                long until = s.timeout > 0
                        ? Math.min(s.sentAt + s.timeout, deadlines.get(s.request))
                        : deadlines.get(s.request);
                if (!s.ended && harness.now >= until) {
                    ended.computeIfAbsent(s.request, k -> new TreeMap<>()).put(s.attempt, AttemptOutcome.TIMEOUT);
                    harness.end(s, AttemptOutcome.TIMEOUT);
                }
            }
            for (; checked < harness.sends.size(); checked++) {
                Harness.Sent s = harness.sends.get(checked);
                Long since = unusable.get(s.endpoint);
                assertTrue(since == null || s.sentAt <= since, "sent to a draining or gone server: " + s.endpoint);
                checkRepeat(harness, s, kinds.get(classOf.get(s.request)), ended, copies);
            }
        }
        harness.pass(Harness.DEADLINE + 100_000);
        for (Harness.Sent s : new ArrayList<>(harness.sends)) {
            if (!s.ended) {
                harness.end(s, AttemptOutcome.TIMEOUT);
            }
        }
        harness.pass(Harness.DEADLINE + 100_000);
        assertEquals(0, harness.doubleFinals);
        for (String id : deadlines.keySet()) {
            assertTrue(harness.finals.containsKey(id), "no answer for " + id);
        }
    }

    private static void checkRepeat(
            Harness harness,
            Harness.Sent s,
            RequestClass kind,
            Map<String, Map<Integer, AttemptOutcome>> ended,
            boolean copies) {
        for (Harness.Sent earlier : harness.sentFor(s.request)) {
            if (earlier.attempt >= s.attempt) {
                continue;
            }
            AttemptOutcome outcome = ended.getOrDefault(s.request, Map.of()).get(earlier.attempt);
            boolean open = outcome == null;
            assertTrue(copies || !open, "two attempts at once");
            if (open || !outcome.neverRan()) {
                assertTrue(kind.idempotency() != Idempotency.NON_IDEMPOTENT, "an unsafe request went out twice");
                assertTrue(
                        kind.idempotency() != Idempotency.IDEMPOTENT_WITH_KEY
                                || s.sentAt - earlier.sentAt < kind.keyRetentionMicros(),
                        "sent after its window");
            }
            assertTrue(outcome != AttemptOutcome.OK, "sent after it was served");
        }
    }
}
