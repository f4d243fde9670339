package loadbalancer.policy;

/** What a class of requests allows once an attempt may have run. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NON_IDEMPOTENT
}
