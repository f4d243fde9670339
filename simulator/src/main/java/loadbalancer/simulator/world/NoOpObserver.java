package loadbalancer.simulator.world;

import java.util.List;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;

/** Hears of everything and keeps nothing: for worlds that are judged by somebody else. */
class NoOpObserver implements Observer {
    @Override
    public void taken(BalancerRequest request, long now) {}

    @Override
    public void sending(Attempt attempt, long now) {}

    @Override
    public void outcome(Attempt attempt, AttemptOutcome outcome, long now) {}

    @Override
    public void answered(BalancerRequest request, Clients.End end, long retryAfter, long now) {}

    @Override
    public void answeredTwice(BalancerRequest request, Clients.End end, long now) {}

    @Override
    public void overdue(BalancerRequest request, long now) {}

    @Override
    public void told(Balancer balancer, EndpointListKind kind, List<Endpoint> servers, long now) {}

    @Override
    public boolean knowsStart(Balancer balancer, Upstream upstream) {
        return true;
    }

    @Override
    public void fell(Upstream upstream, double told, long now) {}

    @Override
    public void pressed(Upstream upstream, double part, long now) {}

    @Override
    public void malformed(Balancer balancer, String what, BalancerRequest request, long now) {}

    @Override
    public void asked(ClientRequest request, long now) {}

    @Override
    public void over(ClientRequest request, boolean served, long now) {}
}
