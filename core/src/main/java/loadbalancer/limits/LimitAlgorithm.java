package loadbalancer.limits;

/** How a {@link ConcurrencyLimit} learns. Operator files name these constants in lower case. */
public enum LimitAlgorithm {
    /** It does not learn: the limit stays as it was set. */
    FIXED,
    /** Additive increase, multiplicative decrease. */
    AIMD,
    /** Keeps the number of requests that wait between two bounds. */
    VEGAS,
    /** Follows the ratio of the base latency to the present one. */
    GRADIENT
}
