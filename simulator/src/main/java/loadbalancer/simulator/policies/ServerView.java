package loadbalancer.simulator.policies;

/** What a textbook policy may see of the servers it chooses from, numbered from 0. */
public interface ServerView {
    /** How many there are. */
    int size();

    /** Jobs there, by the count the policy is entitled to (all of them, or this dispatcher's own). */
    int queue(int server);

    /** Rate of service, for policies that know it; relative figures suffice. */
    double rate(int server);

    /** Whether it is of the fast kind, for policies that know it. */
    boolean fast(int server);
}
