package loadbalancer.simulator.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import loadbalancer.limits.LimitAlgorithm;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.simulator.policies.Choosers;
import loadbalancer.simulator.rules.Day;
import loadbalancer.simulator.rules.RuleViolation;
import loadbalancer.simulator.variants.RoutingSpec;
import loadbalancer.simulator.variants.Variants;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole days with faults: each request still ends exactly once and the rules hold. */
class HardCasesTest {
    private static Day play(WorldPlan plan) {
        return Day.play(plan, 4, Variants.policyFactory(Worlds.variant("balance")));
    }

    private static String rules(Day day) {
        return day.violations().stream().map(RuleViolation::toString).reduce("", (a, b) -> a + "\n" + b);
    }

    @Test
    void dayWithoutFaultsIsServed() {
        Day day = play(Worlds.small(0.4, 6, Idempotency.IDEMPOTENT));
        assertEquals("", rules(day));
        assertTrue(day.figures().get("served") > 0.95, day.figures().toString());
    }

    @Test
    void withoutUpstreamsRequestsAreRejectedAndNoneIsLost() {
        WorldPlan plan = Worlds.small(0.4, 1, Idempotency.IDEMPOTENT, Worlds.fault("death", 2, 9, 1, 0, 0));
        Day day = play(plan);
        assertEquals("", rules(day));
        assertTrue(day.figures().get("refused") > 0.3, day.figures().toString());
        assertEquals(
                0.0,
                play(Worlds.small(0.4, 0, Idempotency.IDEMPOTENT)).figures().get("rules.broken"));
    }

    /** Each fault alone, with idempotent and with non-idempotent requests. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "slow",
                "fast_errors",
                "garble",
                "grey",
                "settings_changed",
                "hot_key",
                "deploy",
                "same_address",
                "shared_slow",
                "rack_lost",
                "death",
                "restart",
                "zone_cut",
                "zone_cut_one_way",
                "register_down",
                "register_twice",
                "balancers_killed",
                "balancers_restarted",
                "balancers_upgraded",
                "retry_storm",
                "burst",
                "clock_step",
                "taken_out",
                "network_slow",
                "loss",
                "tenant_flood"
            })
    void balancerKeepsTheRulesDuringEachFault(String kind) {
        assertTrue(FaultKinds.DESCRIPTIONS.containsKey(kind));
        double size =
                switch (kind) {
                    case "fast_errors", "garble", "grey", "hot_key", "deploy" -> 0.3;
                    case "loss" -> 0.02;
                    default -> 2;
                };
        for (Idempotency effect : List.of(Idempotency.IDEMPOTENT, Idempotency.NON_IDEMPOTENT)) {
            Day day = play(Worlds.small(0.5, 9, effect, Worlds.fault(kind, 3, 4, 0.34, size, 1.5)));
            assertEquals("", rules(day), kind + " " + effect);
            assertTrue(day.figures().get("whole") > 0.3, kind + " " + effect + ": " + day.figures());
        }
        assertEquals(FaultKinds.DESCRIPTIONS.size(), 26, "each kind of fault is named above");
    }

    private static final RoutingSpec FRONT = new RoutingSpec(
            List.of(new RoutingSpec.Pool("site", LimitAlgorithm.GRADIENT, 8, 1, 100, 0)),
            List.of(new RoutingSpec.Way(
                    "all", Set.of(), List.of("site"), List.of(1.0), List.of(), 1, 1.2, 0.05, 0.1, true, 0, 0, 1)),
            1,
            1.5,
            1,
            0.1);

    private static Day playWithRouter(WorldPlan plan) {
        Variants.Variant variant = new Variants.Variant(
                "front",
                "balance",
                new Choosers.Figures(4, 2, 0.5),
                new RoutingSpec.Use(FRONT, null, Set.of(), 1, 0),
                false);
        return Day.play(plan, 4, Variants.policyFactory(variant, plan));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "deploy",
                "death",
                "balancers_killed",
                "balancers_upgraded",
                "retry_storm",
                "taken_out",
                "settings_changed",
                "tenant_flood",
                "register_down"
            })
    void routerKeepsTheRulesAndTheSameSeedGivesTheSameDay(String kind) {
        WorldPlan plan = Worlds.small(0.7, 9, Idempotency.NON_IDEMPOTENT, Worlds.fault(kind, 3, 4, 0.34, 2, 1.5));
        Day day = playWithRouter(plan);
        assertEquals("", rules(day), kind);
        assertTrue(day.figures().get("whole") > 0.3, kind + ": " + day.figures());
        assertEquals(day.figures(), playWithRouter(plan).figures());
    }

    @Test
    void pushedListsReportADeath() {
        WorldPlan polling = Worlds.small(0.4, 6, Idempotency.IDEMPOTENT, Worlds.fault("death", 3, 4, 0.34, 0, 0));
        WorldPlan.Discovery discovery = polling.discovery();
        WorldPlan pushed = new WorldPlan(
                polling.length(),
                polling.balancers(),
                polling.upstreams(),
                polling.zones(),
                polling.load(),
                polling.network(),
                polling.clients(),
                new WorldPlan.Discovery(
                        false,
                        discovery.noticeDelay(),
                        discovery.silentFailureNotice(),
                        discovery.registrationDelay(),
                        discovery.period(),
                        discovery.spread(),
                        discovery.capacity(),
                        discovery.entriesPerCall(),
                        discovery.timeout()),
                polling.rules(),
                polling.goal(),
                polling.prices(),
                polling.fleet(),
                polling.kinds(),
                polling.classes(),
                polling.tenants(),
                polling.faults());
        Day day = play(pushed);
        assertEquals("", rules(day));
        assertTrue(day.figures().get("lists") >= 9, "the start, what ended and what came: " + day.figures());
    }

    @Test
    void sameSeedGivesIdenticalFigures() {
        WorldPlan plan = Worlds.small(
                0.8,
                6,
                Idempotency.IDEMPOTENT,
                Worlds.fault("deploy", 2, 5, 0.6, 0.2, 1.5),
                Worlds.fault("balancers_killed", 4, 2, 0.3, 0, 0));
        assertEquals(play(plan).figures(), play(plan).figures());
    }

    @Test
    void arrivalsDoNotDependOnThePolicy() {
        WorldPlan plan = Worlds.small(0.7, 6, Idempotency.IDEMPOTENT, Worlds.fault("slow", 2, 5, 0.3, 4, 0));
        Day other = Day.play(plan, 4, Variants.policyFactory(Worlds.variant("random")));
        assertEquals(
                List.of(play(plan).series().arrivals()[3], play(plan).series().arrivals()[9]),
                List.of(other.series().arrivals()[3], other.series().arrivals()[9]));
    }

    /** A balancer killed between a send and its outcome receives no outcome; its clients retry at other balancers. */
    @Test
    void killedBalancerReceivesNoOutcomes() {
        List<Long> servedRetries = new ArrayList<>();
        List<Long> outcomesAfter = new ArrayList<>();
        Recorder recorder = new Recorder() {
            @Override
            public void attemptEnded(Attempt attempt, AttemptOutcome outcome, long now) {
                if (!attempt.balancer().alive()) {
                    outcomesAfter.add(now);
                }
            }

            @Override
            public void requestFinished(ClientRequest request, boolean served, long now) {
                if (request.attempts > 1 && served) {
                    servedRetries.add(now);
                }
            }
        };
        WorldPlan plan =
                Worlds.small(0.6, 6, Idempotency.IDEMPOTENT, Worlds.fault("balancers_killed", 4, 3, 0.3, 0, 0));
        World world = new World(plan, 9, (settings, seed, truth) -> new JsqDasPolicy(settings, seed), recorder);
        world.run();
        assertEquals(List.of(), outcomesAfter);
        assertTrue(
                servedRetries.size() > 3, "clients of the killed one were served by others: " + servedRetries.size());
        assertEquals(0, world.clients.open());
    }

    @Test
    void finishedRequestsAndTimersAreReleased() {
        World world = new World(
                Worlds.small(0.7, 6, Idempotency.IDEMPOTENT),
                2,
                (settings, seed, truth) -> new JsqDasPolicy(settings, seed),
                new Recorder());
        world.run();
        for (Balancer balancer : world.processes()) {
            assertEquals(0, balancer.openRequests());
        }
        assertTrue(world.simulation.waiting() < 1024, "pending events: " + world.simulation.waiting());
    }

    @Test
    void successorAtTheSameAddressReceivesRequestsForTheOldId() {
        List<String> targets = new ArrayList<>();
        Recorder recorder = new Recorder() {
            @Override
            public void attemptEnded(Attempt attempt, AttemptOutcome outcome, long now) {
                if (outcome == AttemptOutcome.OK && !attempt.endpointId().equals(attempt.upstream.id())) {
                    targets.add(attempt.endpointId());
                }
            }
        };
        new World(
                        Worlds.small(0.5, 4, Idempotency.IDEMPOTENT, Worlds.fault("same_address", 3, 1, 0.5, 0, 0)),
                        3,
                        (settings, seed, truth) -> new JsqDasPolicy(settings, seed),
                        recorder)
                .run();
        assertTrue(
                targets.size() > 0, "until discovery lists the change, requests for the old id reach the new process");
    }

    /** n equal jobs on c cores all end after n / c times the work of one, or after its work if n < c. */
    @ParameterizedTest
    @CsvSource({"1, 20000", "2, 20000", "4, 40000", "8, 80000"})
    void jobsInServiceShareTheCores(int jobs, long expected) {
        List<Long> ends = new ArrayList<>();
        Recorder recorder = new Recorder() {
            @Override
            public void attemptEnded(Attempt attempt, AttemptOutcome outcome, long now) {
                ends.add(now);
            }
        };
        WorldPlan plan = Worlds.small(0.0001, 1, Idempotency.IDEMPOTENT);
        World world = new World(plan, 1, (settings, seed, truth) -> new JsqDasPolicy(settings, seed), recorder);
        Upstream upstream = world.upstreams.get(0);
        Balancer balancer = new Balancer(world, 0, upstream.zone, 0, new JsqDasPolicy(world.settings(0, 0), 1));
        world.simulation.at(100, now -> {
            for (int i = 0; i < jobs; i++) {
                ClientRequest request = new ClientRequest(i, 0, 0, 0, -1, 20_000, now, now + Worlds.SECOND, false);
                BalancerRequest balancerRequest =
                        new BalancerRequest("t" + i, i, request, balancer, now, now + Worlds.SECOND);
                balancerRequest.clientGone = true;
                upstream.accept(new Attempt(balancerRequest, 0, upstream.id(), upstream, now), false, now);
            }
        });
        world.simulation.runUntil(10 * Worlds.SECOND);
        assertEquals(jobs, ends.size());
        double last = ends.stream().mapToLong(Long::longValue).max().orElse(0) - 100;
        assertEquals(expected, last, 2000, "replies take some 0.2 to 1 ms: " + ends);
    }

    /** Ignores all events, but fails on an invalid action. */
    private static class Recorder extends NoOpObserver {
        @Override
        public boolean knowsStart(Balancer balancer, Upstream upstream) {
            return false;
        }

        @Override
        public void invalidAction(Balancer balancer, String description, BalancerRequest request, long now) {
            throw new AssertionError(description);
        }
    }
}
