package loadbalancer.simulator.policies;

/** The servers that a textbook policy chooses from, numbered from 0, as far as it may observe them. */
public interface ServerView {
    /** Number of servers. */
    int size();

    /** Jobs at the server: either all of them or only those of this dispatcher, whichever the policy may observe. */
    int queue(int server);

    /** Service rate, for policies that know it. Relative rates suffice. */
    double rate(int server);

    /** Whether the server is of the fast kind, for policies that know it. */
    boolean fast(int server);
}
