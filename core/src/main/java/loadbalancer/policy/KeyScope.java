package loadbalancer.policy;

/** The servers that drop a repeat of a keyed request. */
public enum KeyScope {
    ALL,
    ZONE,
    CELL
}
