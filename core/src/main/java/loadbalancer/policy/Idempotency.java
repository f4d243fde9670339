package loadbalancer.policy;

/** Whether a request may be sent again after an attempt that may have been executed. */
public enum Idempotency {
    /** The request may be sent again to any endpoint. */
    IDEMPOTENT,
    /** The request may be sent again to endpoints that recognize its idempotency key, while they retain the key. */
    IDEMPOTENT_WITH_KEY,
    /** The request may not be sent again. */
    NON_IDEMPOTENT
}
