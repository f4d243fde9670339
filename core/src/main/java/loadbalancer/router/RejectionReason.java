package loadbalancer.router;

/** Why a request was not admitted. Log lines contain the names of these constants in lower case. */
public enum RejectionReason {
    /** The request was admitted. */
    NONE,
    /** The request is marked as a client's retry, and the route's retry budget is used up. */
    CLIENT_RETRIES,
    /** The route is over its rate. */
    ROUTE_RATE,
    /** The tenant or the site is over its quota. */
    QUOTA,
    /** No pool of the route can take the request. */
    NO_POOL,
    /** The pool is at its concurrency limit. */
    POOL_LIMIT,
    /** No route matches the request. */
    NO_ROUTE,
    /** The path contains a "." or ".." segment or doesn't begin with a slash, so it can't be matched against routes. */
    BAD_PATH
}
