package loadbalancer.simulator.world;

import loadbalancer.policy.AttemptOutcome;
import loadbalancer.simulator.engine.Simulation;

/** One send of a request to an upstream. */
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

    /** The request that it is for. */
    public BalancerRequest request() {
        return request;
    }

    /** Its number among the request's attempts, from 0. */
    public int number() {
        return number;
    }

    /** The kind of the upstream that it went to, by number. */
    public int upstreamKind() {
        return upstream.kindNumber;
    }

    /** When it was sent, in µs. */
    public long sentAt() {
        return sentAt;
    }

    /** The id it was sent to. */
    public String endpointId() {
        return endpointId;
    }

    /** Whether its outcome is still owed. */
    public boolean inFlight() {
        return inFlight;
    }

    /** False once an outcome has proved that it never ran. */
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
