package loadbalancer.simulator.policies;

import loadbalancer.simulator.engine.RandomStream;

/** A textbook policy: which server gets the next job. */
public interface Chooser {
    /** The number of the server; {@code view} holds at least one. */
    int choose(ServerView view, RandomStream random);

    /** A job went to that server. */
    default void dispatched(int server) {}

    /** The servers are other ones from here on: {@code former[i]} was the number of server i, or -1. */
    default void renumber(int[] former) {}
}
