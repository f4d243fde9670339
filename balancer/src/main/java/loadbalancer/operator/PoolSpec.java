package loadbalancer.operator;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * A pool in the operator file, without its configuration for the router ({@link loadbalancer.router.PoolConfig}).
 *
 * @param discovery the discovery that lists its endpoints; null for a list in the file, and for the site's pool
 * @param endpoints the list in the file; empty if discovery lists them, and for the site's pool
 * @param maxConnections maximum connections to its endpoints; 0: an equal part of those of all pools
 * @param maxBodyBytes maximum bytes of buffered request bodies; 0: an equal part of those of all pools
 */
public record PoolSpec(
        String name,
        InetSocketAddress discovery,
        List<InetSocketAddress> endpoints,
        int maxConnections,
        long maxBodyBytes,
        PoolOverrides overrides) {
    /** The pool whose endpoints the platform's own discovery lists; it exists even if the file does not define it. */
    public static final String SITE = "site";

    /** Copies the list. */
    public PoolSpec {
        endpoints = List.copyOf(endpoints);
    }

    /** Returns the site's pool, for a file that does not define it. */
    static PoolSpec site() {
        return new PoolSpec(SITE, null, List.of(), 0, 0, PoolOverrides.NONE);
    }

    /** Whether the endpoint lists of both pools come from the same source. */
    public boolean sameSource(PoolSpec other) {
        return Objects.equals(discovery, other.discovery) && endpoints.equals(other.endpoints);
    }
}
