package loadbalancer.simulator.world;

import loadbalancer.policy.AttemptOutcome;
import loadbalancer.simulator.engine.Simulation;

/** One send of a request to an upstream. */
public final class Attempt {
    private final BalancerRequest taken;
    private final int number;
    private final long sentAt;
    private final String target;
    final long serial;
    final Upstream upstream;
    Simulation.Timer timeout;
    private boolean out = true;
    private boolean mayHaveRun = true;

    Attempt(BalancerRequest taken, int number, String target, Upstream upstream, long sentAt) {
        this.taken = taken;
        this.number = number;
        this.target = target;
        this.upstream = upstream;
        this.sentAt = sentAt;
        this.serial = taken.serial * 16 + number;
    }

    /** The request that it is for. */
    public BalancerRequest taken() {
        return taken;
    }

    /** Its number among the request's attempts, from 0. */
    public int number() {
        return number;
    }

    /** The kind of the upstream that it went to, by number. */
    public int kind() {
        return upstream.kindNumber;
    }

    /** When it was sent, in µs. */
    public long sentAt() {
        return sentAt;
    }

    /** The id it was sent to. */
    public String target() {
        return target;
    }

    /** Whether its outcome is still owed. */
    public boolean out() {
        return out;
    }

    /** False once an outcome has proved that it never ran. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    long serial() {
        return serial;
    }

    Balancer balancer() {
        return taken.balancer();
    }

    void ended(AttemptOutcome outcome) {
        out = false;
        mayHaveRun = !outcome.neverRan();
    }
}
