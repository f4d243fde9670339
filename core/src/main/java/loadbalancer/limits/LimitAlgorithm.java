package loadbalancer.limits;

/** Algorithm of a {@link ConcurrencyLimit}. Operator files contain the names of these constants in lower case. */
public enum LimitAlgorithm {
    /** The limit never changes. */
    FIXED,
    /** Additive increase, multiplicative decrease. */
    AIMD,
    /** Keeps the estimated number of queued requests between two bounds. */
    VEGAS,
    /** Follows the ratio of the base latency to the current latency. */
    GRADIENT
}
