package loadbalancer.operator;

/**
 * The settings of a pool that differ from the platform's; null for those that don't.
 *
 * @param idleCloseMicros time after which the pool's endpoints close idle connections
 * @param probes whether the pool's endpoints may be probed
 */
public record PoolOverrides(Integer maxAttempts, Long connectTimeoutMicros, Long idleCloseMicros, Boolean probes) {
    /** No setting differs. */
    public static final PoolOverrides NONE = new PoolOverrides(null, null, null, null);
}
