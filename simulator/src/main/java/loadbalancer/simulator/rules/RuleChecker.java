package loadbalancer.simulator.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.Idempotency;
import loadbalancer.simulator.rules.RuleViolation.Rule;
import loadbalancer.simulator.world.Attempt;
import loadbalancer.simulator.world.Balancer;
import loadbalancer.simulator.world.BalancerRequest;
import loadbalancer.simulator.world.ClientRequest;
import loadbalancer.simulator.world.Clients;
import loadbalancer.simulator.world.Observer;
import loadbalancer.simulator.world.Upstream;
import loadbalancer.simulator.world.World;
import loadbalancer.simulator.world.WorldPlan;

/** Holds every event of a day against the rules. It sees all of them, not samples. */
public final class RuleChecker implements Observer {
    private static final int MOST = 100;
    private static final double TOLD_PART = 2 / 3.0;

    /** What one balancer has been told of one upstream. */
    private static final class Told {
        private EndpointState state = EndpointState.UP;
        private long endsSince;
        private long start;
    }

    private final WorldPlan plan;
    private final Score score;
    private final List<RuleViolation> broken = new ArrayList<>();
    private final Map<Balancer, Map<String, Told>> told = new HashMap<>();
    private long count;

    public RuleChecker(WorldPlan plan, Score score) {
        this.plan = plan;
        this.score = score;
    }

    /** Broken rules, the first hundred of them. */
    public List<RuleViolation> broken() {
        return broken;
    }

    /** How many rules were broken in all. */
    public long count() {
        return count;
    }

    private void breach(Rule rule, long now, String subject, String what, BalancerRequest t) {
        count++;
        if (broken.size() < MOST) {
            List<String> chain = new ArrayList<>();
            if (t != null) {
                for (BalancerRequest.Step s : t.steps()) {
                    chain.add(time(s.at()) + " " + s.what());
                }
            }
            broken.add(new RuleViolation(rule, now - World.began(), subject, what, List.copyOf(chain)));
        }
    }

    private static String time(long at) {
        return String.format(Locale.ROOT, "%.6f s", (at - World.began()) / 1e6);
    }

    @Override
    public void taken(BalancerRequest request, long now) {
        score.taken(now);
    }

    @Override
    public void sending(Attempt a, long now) {
        BalancerRequest t = a.taken();
        score.sent(
                a.target(),
                t.attempts().size(),
                t.client().key(),
                plan.kinds().get(a.kind()).pool(),
                now);
        if (t.answered()) {
            breach(Rule.MALFORMED, now, t.id(), "sent after its final answer", t);
        }
        if (t.out() > 0 && !plan.rules().secondCopies()) {
            breach(Rule.TWO_AT_ONCE, now, t.id(), "sent to " + a.target() + " while another attempt is out", t);
        }
        boolean mayHaveRun = t.attempts().stream().anyMatch(Attempt::mayHaveRun);
        if (mayHaveRun && plan.classes().get(t.client().kind()).effect() == Idempotency.NON_IDEMPOTENT) {
            breach(Rule.DUPLICATE, now, t.id(), "sent again to " + a.target() + " though it may have run", t);
        }
        Map<String, Told> known = told.get(t.at());
        Told entry = known == null ? null : known.get(a.target());
        long since = entry != null && entry.state != EndpointState.UP ? entry.endsSince : Long.MAX_VALUE;
        since = Math.min(since, t.at().deemedTold(a.target()));
        if (since != Long.MAX_VALUE) {
            score.sentWhileDraining(now - since);
        }
        if (since != Long.MAX_VALUE && now - since > plan.rules().drainGracePeriodMicros()) {
            breach(
                    Rule.DRAIN,
                    now,
                    t.id(),
                    "sent to " + a.target() + " " + (now - since) / 1000 + " ms after balancer " + t.at().rank()
                            + " was told that it drains or is gone",
                    t);
        }
    }

    @Override
    public void outcome(Attempt a, AttemptOutcome outcome, long now) {
        score.outcome(outcome, now);
    }

    @Override
    public void answered(BalancerRequest t, Clients.End end, long retryAfter, long now) {
        score.answered(end, now);
        score.answerMargin(t.deadline() + plan.rules().responseSlackMicros() - now);
        boolean unsafe = plan.classes().get(t.client().kind()).effect() == Idempotency.NON_IDEMPOTENT;
        if (end == Clients.End.REFUSED && unsafe && t.attempts().stream().anyMatch(Attempt::mayHaveRun)) {
            breach(Rule.DUPLICATE, now, t.id(), "refused, which invites another try, though it may have run", t);
        }
        if (end == Clients.End.REFUSED && retryAfter > plan.rules().maxRetryAfterMicros()) {
            breach(Rule.MALFORMED, now, t.id(), "told to come back after " + retryAfter + " µs, more than allowed", t);
        }
    }

    @Override
    public void answeredTwice(BalancerRequest t, Clients.End end, long now) {
        breach(Rule.ANSWERED_TWICE, now, t.id(), end + " after its final answer", t);
    }

    @Override
    public void overdue(BalancerRequest t, long now) {
        breach(Rule.LOST, now, t.id(), "no final answer in time", t);
    }

    @Override
    public void told(Balancer b, EndpointListKind kind, List<Endpoint> servers, long now) {
        if (kind == EndpointListKind.CACHED) {
            told.keySet().removeIf(other -> other.rank() == b.rank() && other.incarnation() < b.incarnation() - 1);
        }
        Map<String, Told> known = told.computeIfAbsent(b, x -> new HashMap<>());
        Set<String> listed = new HashSet<>();
        for (Endpoint s : servers) {
            listed.add(s.id());
            Told t = known.computeIfAbsent(s.id(), x -> new Told());
            if (s.state() != EndpointState.UP && t.state == EndpointState.UP) {
                t.endsSince = now;
            }
            t.state = s.state();
            t.start = s.startedAt();
        }
        if (kind == EndpointListKind.SNAPSHOT || kind == EndpointListKind.CACHED) {
            known.forEach((id, t) -> {
                if (!listed.contains(id) && t.state == EndpointState.UP) {
                    t.state = EndpointState.GONE;
                    t.endsSince = now;
                }
            });
        }
        score.told(kind);
    }

    @Override
    public boolean knowsStart(Balancer b, Upstream u) {
        Map<String, Told> known = told.get(b);
        Told t = known == null ? null : known.get(u.id());
        return t != null && t.start >= u.saidStart();
    }

    @Override
    public void fell(Upstream u, double toldPart, long now) {
        score.fell();
        if (toldPart >= TOLD_PART) {
            breach(
                    Rule.COLD,
                    now,
                    u.id(),
                    String.format(
                            Locale.ROOT,
                            "fell over while cold; %.0f%% of the work came from balancers that knew of its start",
                            100 * toldPart),
                    null);
        }
    }

    @Override
    public void pressed(Upstream u, double part, long now) {
        score.pressed(part);
    }

    @Override
    public void malformed(Balancer b, String what, BalancerRequest request, long now) {
        breach(Rule.MALFORMED, now, request == null ? "balancer " + b.rank() : request.id(), what, request);
    }

    @Override
    public void asked(ClientRequest request, long now) {
        score.asked(request, now);
    }

    @Override
    public void over(ClientRequest request, boolean served, long now) {
        score.over(request, served, now);
    }
}
