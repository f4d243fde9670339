package loadbalancer.simulator.engine;

/** An action that runs at a point in simulated time. */
@FunctionalInterface
public interface Event {
    /** Runs the event; {@code now} is the simulated time in microseconds. */
    void fire(long now);
}
