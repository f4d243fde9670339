package loadbalancer.policy;

import java.util.Comparator;

/**
 * Ranks endpoints by accomplishment: the number of requests that this balancer has sent to an endpoint. Fast endpoints
 * have shorter queues and therefore receive more requests, so the ranking needs no knowledge of speeds.
 *
 * <p>Source: Gardner and Stephens, "Smart Dispatching in Heterogeneous Systems", which describes JSQ-DAS.
 */
final class AccomplishmentRanking {
    private static final Comparator<EndpointStats> BY_RANK = Comparator.<EndpointStats>comparingDouble(
                    endpoint -> -endpoint.accomplishment)
            .thenComparingInt(endpoint -> endpoint.tieBreaker);

    private final DecayScale scale;

    AccomplishmentRanking(DecayScale scale) {
        this.scale = scale;
    }

    /** Counts an attempt that is sent to the endpoint. */
    void credit(EndpointStats endpoint) {
        endpoint.accomplishment += scale.unit();
    }

    /** Takes back the credit of a failed attempt; otherwise an endpoint that fails fast would gain rank. */
    void revoke(EndpointStats endpoint) {
        endpoint.accomplishment = Math.max(0, endpoint.accomplishment - scale.unit());
    }

    /** Whether the first endpoint ranks higher than the second. */
    static boolean ranksBefore(EndpointStats first, EndpointStats second) {
        return BY_RANK.compare(first, second) < 0;
    }

    /**
     * Moves the highest-ranked endpoints to the front of the array, in no particular order (quickselect). Sorting a
     * large list would take longer than all other steps of a decision.
     *
     * @param topCount how many endpoints to move to the front; at least 1 and less than the number of endpoints
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
