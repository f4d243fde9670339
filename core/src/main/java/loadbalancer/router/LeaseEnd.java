package loadbalancer.router;

/** How an admitted request ended. */
public enum LeaseEnd {
    /** It was served. */
    SERVED,
    /** It failed, or was rejected, after at least one attempt was sent. */
    FAILED,
    /** Its pool rejected it before any attempt was sent. */
    NOT_SENT,
    /** Its client left. */
    CLIENT_GONE
}
