package loadbalancer.simulator.world;

import java.util.List;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointListKind;

/** Receives each event of a world as it happens, on the thread that runs the simulation. It must not change it. */
public interface Observer {
    /** A balancer has accepted a request, to which it owes one final answer. */
    void requestAccepted(BalancerRequest request, long now);

    /** A policy starts an attempt, which isn't among the request's attempts yet. */
    void attemptStarting(Attempt attempt, long now);

    /** An attempt has ended. */
    void attemptEnded(Attempt attempt, AttemptOutcome outcome, long now);

    /** A request has received its final answer. */
    void requestAnswered(BalancerRequest request, Clients.AttemptResult result, long retryAfter, long now);

    /** A policy gives a second final answer. */
    void answeredTwice(BalancerRequest request, Clients.AttemptResult result, long now);

    /** The deadline of a request and the response slack have passed without a final answer. */
    void deadlineMissed(BalancerRequest request, long now);

    /** A balancer has been notified of a list of endpoints or of changes to it. */
    void endpointsNotified(Balancer balancer, EndpointListKind kind, List<Endpoint> endpoints, long now);

    /** Whether that balancer has been notified of the upstream's last start. */
    boolean knowsStart(Balancer balancer, Upstream upstream);

    /**
     * An upstream in slow start received too many requests and failed.
     *
     * @param notifiedFraction the fraction sent by balancers that had been notified of its start
     */
    void upstreamOverloaded(Upstream upstream, double notifiedFraction, long now);

    /** A process in slow start has been sent {@code fraction} of the requests that the rule allows per window. */
    void coldLoad(Upstream upstream, double fraction, long now);

    /** A policy asks for an action that is impossible. */
    void invalidAction(Balancer balancer, String description, BalancerRequest request, long now);

    /** A client is about to make the first attempt of a request. */
    void requestIssued(ClientRequest request, long now);

    /** A client has received its answer ({@code served}) or has given up. */
    void requestFinished(ClientRequest request, boolean served, long now);
}
