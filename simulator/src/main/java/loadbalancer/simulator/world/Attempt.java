package loadbalancer.simulator.world;

import loadbalancer.policy.AttemptOutcome;
import loadbalancer.simulator.engine.Simulation;

/** One attempt of a balancer to have a request served by an upstream. */
public final class Attempt {
    private final BalancerRequest request;
    private final int number;
    private final long sentAt;
    private final String endpointId;
    final long serial;
    final Upstream upstream;
    Simulation.Timer timeout;
    private boolean inFlight = true;
    private boolean mayHaveRun = true;

    Attempt(BalancerRequest request, int number, String endpointId, Upstream upstream, long sentAt) {
        this.request = request;
        this.number = number;
        this.endpointId = endpointId;
        this.upstream = upstream;
        this.sentAt = sentAt;
        this.serial = request.serial * 16 + number;
    }

    /** The request that the attempt serves. */
    public BalancerRequest request() {
        return request;
    }

    /** The number of this attempt among the request's attempts, from 0. */
    public int number() {
        return number;
    }

    /** The index of the kind of the upstream that the attempt was sent to. */
    public int upstreamKind() {
        return upstream.kindNumber;
    }

    /** When the attempt was sent, in simulated µs. */
    public long sentAt() {
        return sentAt;
    }

    /** The endpoint id that the attempt was sent to; a successor at the same address may have received it. */
    public String endpointId() {
        return endpointId;
    }

    /** Whether the outcome is still pending. */
    public boolean inFlight() {
        return inFlight;
    }

    /** False if the outcome shows that the upstream never ran the request. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    long serial() {
        return serial;
    }

    Balancer balancer() {
        return request.balancer();
    }

    void markEnded(AttemptOutcome outcome) {
        inFlight = false;
        mayHaveRun = !outcome.neverRan();
    }
}
