package loadbalancer.routing;

import loadbalancer.operator.PoolSpec;
import loadbalancer.transport.BodyLimits;

/**
 * How much of the process's resources one pool may use.
 *
 * @param maxConnections upstream connections open at the same time
 * @param maxBodyBytes bytes of request bodies held at the same time
 */
record PoolLimits(int maxConnections, long maxBodyBytes) {
    /**
     * What the operator file sets for a pool; what it leaves open is an equal part of what all pools have together.
     *
     * @param poolCount pools that the file names
     */
    static PoolLimits of(PoolSpec spec, int poolCount, PoolLimits allPools) {
        int connections =
                spec.maxConnections() > 0 ? spec.maxConnections() : Math.max(1, allPools.maxConnections / poolCount);
        long bodyBytes = spec.maxBodyBytes() > 0
                ? spec.maxBodyBytes()
                : Math.max(BodyLimits.MAX_BUFFERED_BYTES, allPools.maxBodyBytes / poolCount);
        return new PoolLimits(connections, bodyBytes);
    }
}
