package loadbalancer.simulator.policies;

import loadbalancer.simulator.engine.RandomStream;

/** A textbook load balancing policy: chooses the server for the next job. */
public interface Chooser {
    /** Returns the number of the chosen server; {@code view} has at least one server. */
    int choose(ServerView view, RandomStream random);

    /** Called after a job was sent to {@code server}. */
    default void dispatched(int server) {}

    /** Called when the servers change: server i had the number {@code previousNumbers[i]}, or -1 if it is new. */
    default void renumber(int[] previousNumbers) {}
}
