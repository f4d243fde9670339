package loadbalancer.policy;

/** Which endpoints recognize an idempotency key that one of them has seen. */
public enum KeyScope {
    /** All endpoints. */
    ALL,
    /** Endpoints of the same zone. */
    ZONE,
    /** Endpoints of the same cell. */
    CELL
}
