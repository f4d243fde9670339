package loadbalancer.policy;

import java.util.Comparator;

/**
 * Ranks endpoints by accomplishment, as JSQ-DAS does: the number of requests that a dispatcher has sent to a server, of
 * which fast servers get more as their queues are shorter. The ranking needs no knowledge of speeds.
 *
 * <p>Source: Gardner and Stephens, "Smart Dispatching in Heterogeneous Systems".
 */
final class AccomplishmentRanking {
    private static final Comparator<EndpointStats> BY_RANK = Comparator.<EndpointStats>comparingDouble(
                    endpoint -> -endpoint.accomplishment)
            .thenComparingInt(endpoint -> endpoint.tieBreaker);

    private final DecayScale scale;

    AccomplishmentRanking(DecayScale scale) {
        this.scale = scale;
    }

    /** Counts an attempt that is sent. */
    void credit(EndpointStats endpoint) {
        endpoint.accomplishment += scale.unit();
    }

    /** Takes back the credit of an attempt that failed, lest an endpoint that fails fast gains rank. */
    void revoke(EndpointStats endpoint) {
        endpoint.accomplishment = Math.max(0, endpoint.accomplishment - scale.unit());
    }

    /** Whether the first one has the higher rank. */
    static boolean ranksBefore(EndpointStats one, EndpointStats other) {
        return BY_RANK.compare(one, other) < 0;
    }

    /**
     * Brings the highest ranks to the front, in no order among themselves (Hoare's selection). A sort would cost more
     * than all else in a decision over a large list.
     *
     * @param topCount how many, at least 1 and less than there are
     */
    static void partition(EndpointStats[] endpoints, int topCount) {
        int from = 0;
        int to = endpoints.length - 1;
        while (from < to) {
            EndpointStats pivot = endpoints[(from + to) >>> 1];
            int left = from;
            int right = to;
            while (left <= right) {
                while (ranksBefore(endpoints[left], pivot)) {
                    left++;
                }
                while (ranksBefore(pivot, endpoints[right])) {
                    right--;
                }
                if (left <= right) {
                    EndpointStats swapped = endpoints[left];
                    endpoints[left++] = endpoints[right];
                    endpoints[right--] = swapped;
                }
            }
            to = topCount - 1 <= right ? right : to;
            from = topCount - 1 >= left ? left : topCount - 1 <= right ? from : to;
        }
    }
}
