package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.simulator.engine.Simulation;

/** One client attempt as a balancer holds it. The balancer owes it exactly one final answer by the deadline. */
public final class BalancerRequest {
    /** An event in the life of the request, listed in the reports of rule violations. */
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

    /** The id under which the policy knows the request. */
    public String id() {
        return id;
    }

    /** The client's request, of which this is one attempt. */
    public ClientRequest clientRequest() {
        return clientRequest;
    }

    /** When the balancer accepted the request, in simulated µs. */
    public long acceptedAt() {
        return acceptedAt;
    }

    /** When the client gives up this attempt, in simulated µs. */
    public long deadline() {
        return deadline;
    }

    /** The balancer's attempts so far, in order. */
    public List<Attempt> attempts() {
        return attempts;
    }

    /** The events so far, in order. */
    public List<Step> steps() {
        return steps;
    }

    /** Whether the final answer has been given. */
    public boolean answered() {
        return answered;
    }

    /** Number of attempts whose outcome is pending. */
    public int attemptsInFlight() {
        return attemptsInFlight;
    }

    /** The balancer process that holds the request. */
    public Balancer at() {
        return balancer;
    }

    /** The balancer process that owes the final answer. */
    public Balancer balancer() {
        return balancer;
    }

    void step(long at, String description) {
        steps.add(new Step(at, description));
    }
}
