package loadbalancer.simulator.world;

import java.util.List;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;

/** An observer that ignores all events. */
class NoOpObserver implements Observer {
    @Override
    public void requestAccepted(BalancerRequest request, long now) {}

    @Override
    public void attemptStarting(Attempt attempt, long now) {}

    @Override
    public void attemptEnded(Attempt attempt, AttemptOutcome outcome, long now) {}

    @Override
    public void requestAnswered(BalancerRequest request, Clients.AttemptResult result, long retryAfter, long now) {}

    @Override
    public void answeredTwice(BalancerRequest request, Clients.AttemptResult result, long now) {}

    @Override
    public void deadlineMissed(BalancerRequest request, long now) {}

    @Override
    public void endpointsNotified(Balancer balancer, EndpointListKind kind, List<Endpoint> endpoints, long now) {}

    @Override
    public boolean knowsStart(Balancer balancer, Upstream upstream) {
        return true;
    }

    @Override
    public void upstreamOverloaded(Upstream upstream, double notifiedFraction, long now) {}

    @Override
    public void coldLoad(Upstream upstream, double fraction, long now) {}

    @Override
    public void invalidAction(Balancer balancer, String description, BalancerRequest request, long now) {}

    @Override
    public void requestIssued(ClientRequest request, long now) {}

    @Override
    public void requestFinished(ClientRequest request, boolean served, long now) {}
}
