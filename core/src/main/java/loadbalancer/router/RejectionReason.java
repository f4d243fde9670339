package loadbalancer.router;

/** Why a request was not admitted. Log lines name these constants in lower case. */
public enum RejectionReason {
    /** It was admitted. */
    NONE,
    /** The route's retry budget has nothing left for a retry that its client marked as such. */
    CLIENT_RETRIES,
    /** The route is over its rate. */
    ROUTE_RATE,
    /** The tenant or the site is over its quota. */
    QUOTA,
    /** No pool of the route can take it. */
    NO_POOL,
    /** The pool is over its limit. */
    POOL_LIMIT,
    /** No route takes it. */
    NO_ROUTE,
    /** Its path can't be routed. */
    BAD_PATH
}
