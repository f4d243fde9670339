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
    private static final int MAX_VIOLATIONS = 100;
    private static final double MIN_NOTIFIED_FRACTION = 2 / 3.0;

    /** What one balancer has been told of one upstream. */
    private static final class NotifiedEndpoint {
        private EndpointState state = EndpointState.UP;
        private long endsSince;
        private long start;
    }

    private final WorldPlan plan;
    private final Score score;
    private final List<RuleViolation> violations = new ArrayList<>();
    private final Map<Balancer, Map<String, NotifiedEndpoint>> notified = new HashMap<>();
    private long count;

    public RuleChecker(WorldPlan plan, Score score) {
        this.plan = plan;
        this.score = score;
    }

    /** Broken rules, the first hundred of them. */
    public List<RuleViolation> violations() {
        return violations;
    }

    /** How many rules were broken in all. */
    public long count() {
        return count;
    }

    private void addViolation(Rule rule, long now, String subject, String what, BalancerRequest t) {
        count++;
        if (violations.size() < MAX_VIOLATIONS) {
            List<String> chain = new ArrayList<>();
            if (t != null) {
                for (BalancerRequest.Step s : t.steps()) {
                    chain.add(time(s.at()) + " " + s.description());
                }
            }
            violations.add(new RuleViolation(rule, now - World.dayStart(), subject, what, List.copyOf(chain)));
        }
    }

    private static String time(long at) {
        return String.format(Locale.ROOT, "%.6f s", (at - World.dayStart()) / 1e6);
    }

    @Override
    public void requestAccepted(BalancerRequest request, long now) {
        score.requestAccepted(now);
    }

    @Override
    public void attemptStarting(Attempt a, long now) {
        BalancerRequest t = a.request();
        score.attemptStarted(
                a.endpointId(),
                t.attempts().size(),
                t.clientRequest().key(),
                plan.kinds().get(a.kind()).pool(),
                now);
        if (t.answered()) {
            addViolation(Rule.MALFORMED, now, t.id(), "sent after its final answer", t);
        }
        if (t.attemptsInFlight() > 0 && !plan.rules().hedgingAllowed()) {
            addViolation(
                    Rule.TWO_AT_ONCE, now, t.id(), "sent to " + a.endpointId() + " while another attempt is out", t);
        }
        boolean mayHaveRun = t.attempts().stream().anyMatch(Attempt::mayHaveRun);
        if (mayHaveRun && plan.classes().get(t.clientRequest().kind()).effect() == Idempotency.NON_IDEMPOTENT) {
            addViolation(Rule.DUPLICATE, now, t.id(), "sent again to " + a.endpointId() + " though it may have run", t);
        }
        Map<String, NotifiedEndpoint> known = notified.get(t.balancer());
        NotifiedEndpoint entry = known == null ? null : known.get(a.endpointId());
        long since = entry != null && entry.state != EndpointState.UP ? entry.endsSince : Long.MAX_VALUE;
        since = Math.min(since, t.balancer().deemedNotifiedAt(a.endpointId()));
        if (since != Long.MAX_VALUE) {
            score.sentToDraining(now - since);
        }
        if (since != Long.MAX_VALUE && now - since > plan.rules().drainGracePeriodMicros()) {
            addViolation(
                    Rule.DRAIN,
                    now,
                    t.id(),
                    "sent to " + a.endpointId() + " " + (now - since) / 1000 + " ms after balancer "
                            + t.balancer().rank() + " was told that it drains or is gone",
                    t);
        }
    }

    @Override
    public void attemptEnded(Attempt a, AttemptOutcome outcome, long now) {
        score.attemptEnded(outcome, now);
    }

    @Override
    public void requestAnswered(BalancerRequest t, Clients.End end, long retryAfter, long now) {
        score.requestAnswered(end, now);
        score.answerMargin(t.deadline() + plan.rules().responseSlackMicros() - now);
        boolean unsafe = plan.classes().get(t.clientRequest().kind()).effect() == Idempotency.NON_IDEMPOTENT;
        if (end == Clients.End.REFUSED && unsafe && t.attempts().stream().anyMatch(Attempt::mayHaveRun)) {
            addViolation(Rule.DUPLICATE, now, t.id(), "refused, which invites another try, though it may have run", t);
        }
        if (end == Clients.End.REFUSED && retryAfter > plan.rules().maxRetryAfterMicros()) {
            addViolation(
                    Rule.MALFORMED, now, t.id(), "told to come back after " + retryAfter + " µs, more than allowed", t);
        }
    }

    @Override
    public void answeredTwice(BalancerRequest t, Clients.End end, long now) {
        addViolation(Rule.ANSWERED_TWICE, now, t.id(), end + " after its final answer", t);
    }

    @Override
    public void deadlineMissed(BalancerRequest t, long now) {
        addViolation(Rule.LOST, now, t.id(), "no final answer in time", t);
    }

    @Override
    public void endpointsNotified(Balancer b, EndpointListKind kind, List<Endpoint> servers, long now) {
        if (kind == EndpointListKind.CACHED) {
            notified.keySet().removeIf(other -> other.rank() == b.rank() && other.incarnation() < b.incarnation() - 1);
        }
        Map<String, NotifiedEndpoint> known = notified.computeIfAbsent(b, x -> new HashMap<>());
        Set<String> listed = new HashSet<>();
        for (Endpoint s : servers) {
            listed.add(s.id());
            NotifiedEndpoint t = known.computeIfAbsent(s.id(), x -> new NotifiedEndpoint());
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
        score.endpointListNotified(kind);
    }

    @Override
    public boolean knowsStart(Balancer b, Upstream u) {
        Map<String, NotifiedEndpoint> known = notified.get(b);
        NotifiedEndpoint t = known == null ? null : known.get(u.id());
        return t != null && t.start >= u.reportedStart();
    }

    @Override
    public void upstreamOverloaded(Upstream u, double notifiedFraction, long now) {
        score.upstreamOverloaded();
        if (notifiedFraction >= MIN_NOTIFIED_FRACTION) {
            addViolation(
                    Rule.COLD,
                    now,
                    u.id(),
                    String.format(
                            Locale.ROOT,
                            "fell over while cold; %.0f%% of the work came from balancers that knew of its start",
                            100 * notifiedFraction),
                    null);
        }
    }

    @Override
    public void coldLoad(Upstream u, double part, long now) {
        score.coldLoad(part);
    }

    @Override
    public void invalidAction(Balancer b, String what, BalancerRequest request, long now) {
        addViolation(Rule.MALFORMED, now, request == null ? "balancer " + b.rank() : request.id(), what, request);
    }

    @Override
    public void requestIssued(ClientRequest request, long now) {
        score.requestIssued(request, now);
    }

    @Override
    public void requestFinished(ClientRequest request, boolean served, long now) {
        score.requestFinished(request, served, now);
    }
}
