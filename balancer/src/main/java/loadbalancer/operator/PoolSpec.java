package loadbalancer.operator;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * A pool as the operator file sets it, apart from what the router goes by.
 *
 * @param discovery where its endpoint list comes from; null for a list in the file, and for the site's pool
 * @param endpoints the list in the file; empty where discovery gives it, and for the site's pool
 * @param maxConnections to its endpoints; 0: an equal part of what all pools have
 * @param maxBodyBytes of request bodies held for it; 0: an equal part of what all pools have
 */
public record PoolSpec(
        String name,
        InetSocketAddress discovery,
        List<InetSocketAddress> endpoints,
        int maxConnections,
        long maxBodyBytes,
        PoolOverrides overrides) {
    /** The pool that the platform's own discovery lists: it exists whether or not the file names it. */
    public static final String SITE = "site";

    /** Copies the list. */
    public PoolSpec {
        endpoints = List.copyOf(endpoints);
    }

    /** The site's pool where the file does not name it. */
    static PoolSpec site() {
        return new PoolSpec(SITE, null, List.of(), 0, 0, PoolOverrides.NONE);
    }

    /** Whether its endpoint list comes from the same place as that of another. */
    public boolean sameSource(PoolSpec other) {
        return Objects.equals(discovery, other.discovery) && endpoints.equals(other.endpoints);
    }
}
