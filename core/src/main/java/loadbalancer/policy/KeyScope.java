package loadbalancer.policy;

/** Which endpoints recognize an idempotency key that one of them has seen. */
public enum KeyScope {
    /** All endpoints. */
    ALL,
    /** Those of the same zone. */
    ZONE,
    /** Those of the same cell. */
    CELL
}
