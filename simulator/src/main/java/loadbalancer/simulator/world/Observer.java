package loadbalancer.simulator.world;

import java.util.List;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;

/** Receives every event of a world as it happens, on the thread that plays it. It must not change the world. */
public interface Observer {
    /** A balancer has taken a request: it owes one final answer. */
    void requestAccepted(BalancerRequest request, long now);

    /** A policy asks for an attempt; it isn't among the request's attempts yet. */
    void attemptStarting(Attempt attempt, long now);

    /** An attempt has ended. */
    void attemptEnded(Attempt attempt, AttemptOutcome outcome, long now);

    /** A request has had its final answer. */
    void requestAnswered(BalancerRequest request, Clients.AttemptResult end, long retryAfter, long now);

    /** A policy gives a second final answer. */
    void answeredTwice(BalancerRequest request, Clients.AttemptResult end, long now);

    /** The time for a final answer is over and there was none. */
    void deadlineMissed(BalancerRequest request, long now);

    /** A balancer has been notified of endpoints. */
    void endpointsNotified(Balancer balancer, EndpointListKind kind, List<Endpoint> servers, long now);

    /** Whether that balancer has been notified of the upstream's last start. */
    boolean knowsStart(Balancer balancer, Upstream upstream);

    /**
     * An upstream in slow start was sent too much and failed.
     *
     * @param notifiedFraction the fraction sent by balancers that had been notified of its start
     */
    void upstreamOverloaded(Upstream upstream, double notifiedFraction, long now);

    /** A process in slow start has been sent that fraction of what the rule allows within its window. */
    void coldLoad(Upstream upstream, double fraction, long now);

    /** A policy asks for what can't be. */
    void invalidAction(Balancer balancer, String description, BalancerRequest request, long now);

    /** A client makes a first try. */
    void requestIssued(ClientRequest request, long now);

    /** A client has its answer, or has given up: {@code served} tells which. */
    void requestFinished(ClientRequest request, boolean served, long now);
}
