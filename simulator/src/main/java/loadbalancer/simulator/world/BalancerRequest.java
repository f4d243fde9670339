package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.simulator.engine.Simulation;

/** A client's try, as a balancer holds it: it owes exactly one final answer by the deadline. */
public final class BalancerRequest {
    /** Something that happened to it, for the chain of events that a broken rule shows. */
    public record Step(long at, String what) {}

    private final String id;
    private final ClientRequest client;
    private final Balancer balancer;
    private final long takenAt;
    private final long deadline;
    final long serial;
    final List<Attempt> attempts = new ArrayList<>(2);
    private final List<Step> steps = new ArrayList<>(4);
    int out;
    boolean answered;
    boolean gone;
    Simulation.Timer overdue;

    BalancerRequest(String id, long serial, ClientRequest client, Balancer balancer, long takenAt, long deadline) {
        this.id = id;
        this.serial = serial;
        this.client = client;
        this.balancer = balancer;
        this.takenAt = takenAt;
        this.deadline = deadline;
    }

    /** The id that the module knows it by. */
    public String id() {
        return id;
    }

    /** The client's request, of which this is one try. */
    public ClientRequest client() {
        return client;
    }

    /** When it was taken, in µs. */
    public long takenAt() {
        return takenAt;
    }

    /** When the client gives this try up, in µs. */
    public long deadline() {
        return deadline;
    }

    /** Its attempts so far, in order. */
    public List<Attempt> attempts() {
        return attempts;
    }

    /** What happened to it so far. */
    public List<Step> steps() {
        return steps;
    }

    /** Whether its final answer has gone out. */
    public boolean answered() {
        return answered;
    }

    /** Attempts whose outcome is owed. */
    public int out() {
        return out;
    }

    /** The balancer process that holds it. */
    public Balancer at() {
        return balancer;
    }

    Balancer balancer() {
        return balancer;
    }

    void step(long at, String what) {
        steps.add(new Step(at, what));
    }
}
