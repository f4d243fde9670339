package loadbalancer.policy;

/** What a class of requests allows once an attempt may have run. */
public enum Idempotency {
    SAFE,
    KEYED,
    UNSAFE
}
