package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.simulator.engine.Simulation;

/** A client's try, as a balancer holds it: it owes exactly one final answer by the deadline. */
public final class BalancerRequest {
    /** Something that happened to it, for the chain of events that a broken rule shows. */
    public record Step(long at, String description) {}

    private final String id;
    private final ClientRequest clientRequest;
    private final Balancer balancer;
    private final long acceptedAt;
    private final long deadline;
    final long serial;
    final List<Attempt> attempts = new ArrayList<>(2);
    private final List<Step> steps = new ArrayList<>(4);
    int attemptsInFlight;
    boolean answered;
    boolean clientGone;
    Simulation.Timer deadlineTimer;

    BalancerRequest(
            String id, long serial, ClientRequest clientRequest, Balancer balancer, long acceptedAt, long deadline) {
        this.id = id;
        this.serial = serial;
        this.clientRequest = clientRequest;
        this.balancer = balancer;
        this.acceptedAt = acceptedAt;
        this.deadline = deadline;
    }

    /** The id that the policy knows it by. */
    public String id() {
        return id;
    }

    /** The client's request, of which this is one try. */
    public ClientRequest clientRequest() {
        return clientRequest;
    }

    /** When it was taken, in µs. */
    public long acceptedAt() {
        return acceptedAt;
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
    public int attemptsInFlight() {
        return attemptsInFlight;
    }

    /** The balancer process that holds it. */
    public Balancer at() {
        return balancer;
    }

    /** The balancer process that owes the answer. */
    public Balancer balancer() {
        return balancer;
    }

    void step(long at, String description) {
        steps.add(new Step(at, description));
    }
}
