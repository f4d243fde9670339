package loadbalancer.router;

/** How an admitted request ended. */
public enum LeaseEnd {
    /** The request was served. */
    SERVED,
    /** The request failed or was rejected after at least one attempt had been sent. */
    FAILED,
    /** The pool rejected the request before any attempt was sent. */
    NOT_SENT,
    /** The client disconnected. */
    CLIENT_GONE
}
