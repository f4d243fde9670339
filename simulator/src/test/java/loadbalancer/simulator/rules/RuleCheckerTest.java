package loadbalancer.simulator.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.LoadReport;
import loadbalancer.simulator.rules.RuleViolation.Rule;
import loadbalancer.simulator.world.WorldPlan;
import loadbalancer.simulator.world.Worlds;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** For each rule a policy that breaks just that rule, and the judge names it. */
class RuleCheckerTest {
    /** Sends each request to the next upstream, once; keeps every rule but the planted one. */
    private static final class Planted implements LoadBalancingPolicy {
        private final Rule rule;
        private final Map<String, Endpoint> up = new LinkedHashMap<>();
        private final Map<String, Boolean> open = new HashMap<>();
        private Endpoint cold;
        private int next;

        Planted(Rule rule) {
            this.rule = rule;
        }

        @Override
        public void endpoints(long now, EndpointListKind kind, List<Endpoint> servers, Actions out) {
            if (kind == EndpointListKind.CACHED) {
                out.watch(true);
            }
            for (Endpoint endpoint : servers) {
                if (endpoint.state() == EndpointState.UP) {
                    up.put(endpoint.id(), endpoint);
                    cold = endpoint.startedAt() > 0 ? endpoint : cold;
                } else if (rule != Rule.DRAIN) {
                    up.remove(endpoint.id());
                }
            }
        }

        private String pick(long now) {
            if (rule == Rule.COLD && cold != null) {
                return cold.id();
            }
            List<Endpoint> warm =
                    up.values().stream().filter(s -> s.startedAt() == 0).toList();
            return warm.isEmpty() ? null : warm.get(next++ % warm.size()).id();
        }

        @Override
        public void request(
                long now,
                String id,
                int kind,
                int tenant,
                String key,
                long timeLeft,
                long work,
                boolean clientRetry,
                Actions out) {
            open.put(id, false);
            String server = pick(now);
            if (rule == Rule.LOST && next % 50 == 0) {
                open.remove(id);
            } else if (server == null) {
                out.reject(id, 0);
            } else if (rule == Rule.MALFORMED && next % 50 == 0) {
                out.send(id, "no such upstream", 0);
                out.send(id, server, 0);
            } else {
                out.send(id, server, 0);
                if (rule == Rule.TWO_AT_ONCE && next % 50 == 0) {
                    open.put(id, true);
                    out.send(id, pick(now), 0);
                }
            }
        }

        @Override
        public void outcome(
                long now,
                String id,
                int attempt,
                AttemptOutcome outcome,
                long latency,
                boolean closed,
                LoadReport load,
                Actions out) {
            if (closed || !open.containsKey(id)) {
                return;
            }
            if (rule == Rule.DUPLICATE && attempt == 0 && outcome == AttemptOutcome.ERROR) {
                out.send(id, pick(now), 0);
                return;
            }
            if (open.get(id) && attempt == 0) {
                return;
            }
            open.remove(id);
            if (outcome.neverRan()) {
                out.reject(id, 0);
            } else {
                out.fail(id);
            }
            if (rule == Rule.ANSWERED_TWICE) {
                out.fail(id);
            }
        }

        @Override
        public void clientGone(long now, String id, Actions out) {
            open.remove(id);
        }

        @Override
        public void streamStarted(long now, String id, int attempt, Actions out) {}

        @Override
        public void probed(
                long now, String server, AttemptOutcome outcome, long latency, LoadReport load, Actions out) {}

        @Override
        public void wake(long now, Actions out) {}
    }

    private static Day play(Rule rule) {
        boolean twoMayRun = rule == Rule.TWO_AT_ONCE; // else the second copy would be a duplicate as well
        WorldPlan plan = Worlds.small(
                0.3,
                8,
                twoMayRun ? Idempotency.IDEMPOTENT : Idempotency.NON_IDEMPOTENT,
                Worlds.fault("fast_errors", 1, 10, 0.25, 0.5, 0),
                Worlds.fault("deploy", 2, 3, 0.25, 0.25, 4));
        return Day.play(plan, 6, (settings, seed, truth) -> new Planted(rule));
    }

    @ParameterizedTest
    @EnumSource(Rule.class)
    void thePlantedRuleAndNoOtherIsNamed(Rule rule) {
        Day day = play(rule);
        Set<Rule> named = day.violations().stream().map(RuleViolation::rule).collect(Collectors.toSet());
        assertEquals(Set.of(rule), named, () -> day.violations().get(0).toString());
        assertTrue(day.figures().get("rules.broken") >= 1);
    }

    @Test
    void thePolicyThatPlantsNothingBreaksNothing() {
        assertEquals(List.of(), play(null).violations());
    }

    @Test
    void aBrokenRuleShowsTheRequestTheTimeAndTheChainThatLedThere() {
        RuleViolation violation = play(Rule.DUPLICATE).violations().get(0);
        assertTrue(violation.at() > 1_000_000 && violation.subject().startsWith("r"), violation.toString());
        assertTrue(
                violation.events().get(0).contains("sent to ")
                        && violation.events().get(1).contains("attempt 0 ERROR"),
                violation.toString());
        assertFalse(violation.description().isEmpty());
    }
}
