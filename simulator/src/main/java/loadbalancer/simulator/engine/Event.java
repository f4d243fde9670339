package loadbalancer.simulator.engine;

/** Something that happens at an instant of simulated time. */
@FunctionalInterface
public interface Event {
    /** Happens; {@code now} is the simulated time in microseconds. */
    void fire(long now);
}
