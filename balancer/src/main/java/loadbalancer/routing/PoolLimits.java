package loadbalancer.routing;

import loadbalancer.operator.PoolSpec;
import loadbalancer.transport.BodyLimits;

/**
 * The process's resources that one pool may use.
 *
 * @param maxConnections the maximum number of upstream connections open at the same time
 * @param maxBodyBytes the maximum number of request body bytes held at the same time
 */
record PoolLimits(int maxConnections, long maxBodyBytes) {
    /**
     * Returns the limits that the operator file sets for a pool. A limit that it does not set is an equal share of the
     * limit of all pools together.
     *
     * @param poolCount the number of pools in the file
     * @param allPools the limits of all pools together
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
