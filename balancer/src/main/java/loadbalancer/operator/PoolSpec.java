package loadbalancer.operator;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A pool as the operator file sets it, beside what the front goes by.
 *
 * @param discovery where its list comes from; null: the list is {@code upstreams}, or the platform's for the site's
 * @param connections to its upstreams at the most; 0: its part of what there is
 * @param memory bytes of bodies held for it at the most; 0: its part of what there is
 */
public record PoolSpec(
        String name,
        InetSocketAddress discovery,
        List<InetSocketAddress> upstreams,
        int connections,
        long memory,
        Overrides settings) {
    /** The pool that the platform's own discovery lists: it is there whether or not the file names it. */
    public static final String SITE = "site";

    public PoolSpec {
        upstreams = List.copyOf(upstreams);
    }

    /** Whether its list comes from the same place as that of another. */
    public boolean sameSource(PoolSpec other) {
        return java.util.Objects.equals(discovery, other.discovery) && upstreams.equals(other.upstreams);
    }

    /** Settings that differ from the platform's; null: as they are there. Times in µs. */
    public record Overrides(Integer maxAttempts, Long connectTimeoutMicros, Long idleClose, Boolean probes) {
        /** None. */
        public static final Overrides NONE = new Overrides(null, null, null, null);
    }
}
