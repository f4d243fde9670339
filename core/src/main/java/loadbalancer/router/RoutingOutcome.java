package loadbalancer.router;

/** What becomes of a request at the router. */
public enum RoutingOutcome {
    /** It is handed to a pool. */
    ADMITTED,
    /** It is over a limit; trying again later is harmless. */
    REJECTED,
    /** No route takes it. */
    NOT_FOUND,
    /** Its path can't be routed. */
    BAD_PATH
}
