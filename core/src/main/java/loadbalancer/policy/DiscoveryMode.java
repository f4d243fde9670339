package loadbalancer.policy;

/** How a balancer learns of changes to the endpoint list. */
public enum DiscoveryMode {
    /** Discovery sends changes without being asked. */
    PUSH,
    /** Discovery sends changes only when the balancer asks to watch or to fetch the list. */
    POLL
}
