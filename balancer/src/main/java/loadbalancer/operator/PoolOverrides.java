package loadbalancer.operator;

/**
 * A pool's settings that differ from the platform's; null where they don't.
 *
 * @param idleCloseMicros after which its endpoints close idle connections
 * @param probes whether its endpoints may be probed
 */
public record PoolOverrides(Integer maxAttempts, Long connectTimeoutMicros, Long idleCloseMicros, Boolean probes) {
    /** No setting differs. */
    public static final PoolOverrides NONE = new PoolOverrides(null, null, null, null);
}
