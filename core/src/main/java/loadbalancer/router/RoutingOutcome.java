package loadbalancer.router;

/** Outcome of a request at the router. */
public enum RoutingOutcome {
    /** The request is handed to a pool. */
    ADMITTED,
    /** The request is over a limit; it was not sent, so a later retry is harmless. */
    REJECTED,
    /** No route matches the request. */
    NOT_FOUND,
    /** The path of the request can't be routed. */
    BAD_PATH
}
