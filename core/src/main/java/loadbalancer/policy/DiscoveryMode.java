package loadbalancer.policy;

/** How a balancer learns of changes of the endpoint list. */
public enum DiscoveryMode {
    /** Discovery sends changes unasked. */
    PUSH,
    /** Discovery answers when it is asked to watch or to fetch the list. */
    POLL
}
