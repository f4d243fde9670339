package loadbalancer.policy;

/** Whether a request may be executed again once an attempt may have been executed. */
public enum Idempotency {
    /** It may. */
    IDEMPOTENT,
    /** It may where the endpoint recognizes its idempotency key, within the key's retention. */
    IDEMPOTENT_WITH_KEY,
    /** It may not. */
    NON_IDEMPOTENT
}
