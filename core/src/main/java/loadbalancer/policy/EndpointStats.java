package loadbalancer.policy;

import java.util.ArrayDeque;

/**
 * What this balancer knows about an endpoint since its last start. This class only holds state; the classes that
 * implement the rules read and write it. Counts documented as decayed are in units of {@link DecayScale}; times are in
 * microseconds.
 */
final class EndpointStats {
    /** The endpoint as in the latest list. */
    Endpoint endpoint;

    final long idHash;

    /** Random, so that balancers order endpoints with equal accomplishment differently. */
    final int tieBreaker;

    /** Decayed number of attempts sent, less those that failed; see {@link AccomplishmentRanking}. */
    double accomplishment;

    int ringPoints;

    /** Number of the last walk over the hash ring that visited this endpoint. */
    int lastWalkNumber;

    int attemptsInFlight;

    /** Requests in flight according to the last load report of the endpoint. */
    double reportedInFlight;

    /** Time of the last load report, 0 before the first one. */
    long reportedAt;

    /** Moving mean of the ratio of latency to expected latency, as of {@link #slownessAt}. */
    double slowness = 1;

    long slownessAt;

    /** Attempts in the order in which they were sent; those that have ended are removed lazily. */
    final ArrayDeque<AttemptState> attempts = new ArrayDeque<>();

    /** Times until which failed attempts still count as part of the queue. */
    final ArrayDeque<Long> failedSlotExpiries = new ArrayDeque<>();

    /** Decayed. */
    double successCount;

    /** Decayed, and weighted by how much each failure says about the endpoint. */
    double failureCount;

    long lastSuccessAt;

    /** Time from which a freshly started endpoint is due for its first request, whatever its rank. */
    long firstRequestDueAt = Long.MAX_VALUE;

    long ejectedUntil;

    int ejectionCount;

    /** Time before which the endpoint is not used because it has rejected an attempt. */
    long saturatedUntil;

    /** Number of successes still needed to end probation, 0 if the endpoint is not on probation. */
    int probationSuccessesLeft;

    /** Number of attempts that slow start allowed at {@link #slowStartTokensAt}. */
    double slowStartTokens;

    long slowStartTokensAt;

    EndpointStats(Endpoint endpoint, int tieBreaker) {
        this.endpoint = endpoint;
        this.idHash = Hashing.hash(endpoint.id());
        this.tieBreaker = tieBreaker;
    }
}
