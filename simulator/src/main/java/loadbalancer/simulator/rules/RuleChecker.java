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

    /** What one balancer has been notified of about one upstream. */
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

    /** Checks the rules of {@code plan} and passes each event on to {@code score}. */
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

    private void addViolation(Rule rule, long now, String subject, String what, BalancerRequest request) {
        count++;
        if (violations.size() < MAX_VIOLATIONS) {
            List<String> chain = new ArrayList<>();
            if (request != null) {
                for (BalancerRequest.Step step : request.steps()) {
                    chain.add(time(step.at()) + " " + step.description());
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
    public void attemptStarting(Attempt attempt, long now) {
        BalancerRequest request = attempt.request();
        score.attemptStarted(
                attempt.endpointId(),
                request.attempts().size(),
                request.clientRequest().key(),
                plan.kinds().get(attempt.upstreamKind()).pool(),
                now);
        if (request.answered()) {
            addViolation(Rule.MALFORMED, now, request.id(), "sent after its final answer", request);
        }
        if (request.attemptsInFlight() > 0 && !plan.rules().hedgingAllowed()) {
            addViolation(
                    Rule.TWO_AT_ONCE,
                    now,
                    request.id(),
                    "sent to " + attempt.endpointId() + " while another attempt is out",
                    request);
        }
        boolean mayHaveRun = request.attempts().stream().anyMatch(Attempt::mayHaveRun);
        if (mayHaveRun
                && plan.classes().get(request.clientRequest().requestClass()).effect() == Idempotency.NON_IDEMPOTENT) {
            addViolation(
                    Rule.DUPLICATE,
                    now,
                    request.id(),
                    "sent again to " + attempt.endpointId() + " though it may have run",
                    request);
        }
        Map<String, NotifiedEndpoint> known = notified.get(request.balancer());
        NotifiedEndpoint entry = known == null ? null : known.get(attempt.endpointId());
        long since = entry != null && entry.state != EndpointState.UP ? entry.endsSince : Long.MAX_VALUE;
        since = Math.min(since, request.balancer().deemedNotifiedAt(attempt.endpointId()));
        if (since != Long.MAX_VALUE) {
            score.sentToDraining(now - since);
        }
        if (since != Long.MAX_VALUE && now - since > plan.rules().drainGracePeriodMicros()) {
            addViolation(
                    Rule.DRAIN,
                    now,
                    request.id(),
                    "sent to " + attempt.endpointId() + " " + (now - since) / 1000 + " ms after balancer "
                            + request.balancer().rank() + " was told that it drains or is gone",
                    request);
        }
    }

    @Override
    public void attemptEnded(Attempt attempt, AttemptOutcome outcome, long now) {
        score.attemptEnded(outcome, now);
    }

    @Override
    public void requestAnswered(BalancerRequest request, Clients.AttemptResult end, long retryAfter, long now) {
        score.requestAnswered(end, now);
        score.answerMargin(request.deadline() + plan.rules().responseSlackMicros() - now);
        boolean unsafe =
                plan.classes().get(request.clientRequest().requestClass()).effect() == Idempotency.NON_IDEMPOTENT;
        if (end == Clients.AttemptResult.REFUSED
                && unsafe
                && request.attempts().stream().anyMatch(Attempt::mayHaveRun)) {
            addViolation(
                    Rule.DUPLICATE,
                    now,
                    request.id(),
                    "refused, which invites another try, though it may have run",
                    request);
        }
        if (end == Clients.AttemptResult.REFUSED && retryAfter > plan.rules().maxRetryAfterMicros()) {
            addViolation(
                    Rule.MALFORMED,
                    now,
                    request.id(),
                    "told to come back after " + retryAfter + " µs, more than allowed",
                    request);
        }
    }

    @Override
    public void answeredTwice(BalancerRequest request, Clients.AttemptResult end, long now) {
        addViolation(Rule.ANSWERED_TWICE, now, request.id(), end + " after its final answer", request);
    }

    @Override
    public void deadlineMissed(BalancerRequest request, long now) {
        addViolation(Rule.LOST, now, request.id(), "no final answer in time", request);
    }

    @Override
    public void endpointsNotified(Balancer balancer, EndpointListKind kind, List<Endpoint> servers, long now) {
        if (kind == EndpointListKind.CACHED) {
            notified.keySet()
                    .removeIf(other ->
                            other.rank() == balancer.rank() && other.incarnation() < balancer.incarnation() - 1);
        }
        Map<String, NotifiedEndpoint> known = notified.computeIfAbsent(balancer, x -> new HashMap<>());
        Set<String> listed = new HashSet<>();
        for (Endpoint endpoint : servers) {
            listed.add(endpoint.id());
            NotifiedEndpoint notified = known.computeIfAbsent(endpoint.id(), x -> new NotifiedEndpoint());
            if (endpoint.state() != EndpointState.UP && notified.state == EndpointState.UP) {
                notified.endsSince = now;
            }
            notified.state = endpoint.state();
            notified.start = endpoint.startedAt();
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
    public boolean knowsStart(Balancer balancer, Upstream upstream) {
        Map<String, NotifiedEndpoint> known = notified.get(balancer);
        NotifiedEndpoint notified = known == null ? null : known.get(upstream.id());
        return notified != null && notified.start >= upstream.reportedStart();
    }

    @Override
    public void upstreamOverloaded(Upstream upstream, double notifiedFraction, long now) {
        score.upstreamOverloaded();
        if (notifiedFraction >= MIN_NOTIFIED_FRACTION) {
            addViolation(
                    Rule.COLD,
                    now,
                    upstream.id(),
                    String.format(
                            Locale.ROOT,
                            "fell over while cold; %.0f%% of the work came from balancers that knew of its start",
                            100 * notifiedFraction),
                    null);
        }
    }

    @Override
    public void coldLoad(Upstream upstream, double part, long now) {
        score.coldLoad(part);
    }

    @Override
    public void invalidAction(Balancer balancer, String what, BalancerRequest request, long now) {
        addViolation(
                Rule.MALFORMED, now, request == null ? "balancer " + balancer.rank() : request.id(), what, request);
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
