package loadbalancer.policy;

import java.util.ArrayDeque;

/**
 * What this balancer knows about one start of one endpoint. Plain state: the classes that hold the rules read and write
 * it. Counts called decayed are in units of {@link DecayScale}; times are microseconds.
 */
final class EndpointStats {
    /** The endpoint as last listed. */
    Endpoint endpoint;

    final long idHash;

    /** Random, so that endpoints with equal accomplishment have no common order in all balancers. */
    final int tieBreaker;

    /** The paper's accomplishment: decayed number of attempts sent, less those that failed. */
    double accomplishment;

    int ringPoints;

    /** Number of the last walk over the hash ring that visited this endpoint. */
    int lastWalk;

    int attemptsInFlight;

    /** Requests in flight by the endpoint's last load report. */
    double reportedInFlight;

    /** Time of that report, 0 before the first one. */
    long reportedAt;

    /** Moving mean of latency over expected latency, at {@link #slownessAt}. */
    double slowness = 1;

    long slownessAt;

    /** Attempts by the time they were sent; those that have ended are dropped lazily. */
    final ArrayDeque<AttemptState> attempts = new ArrayDeque<>();

    /** Until when each failed attempt still counts as part of the queue. */
    final ArrayDeque<Long> failedSlotExpiries = new ArrayDeque<>();

    /** Decayed. */
    double successCount;

    /** Decayed, and weighted by how much each failure says about the endpoint. */
    double failureCount;

    long lastSuccessAt;

    /** A freshly started endpoint is sent a request by then, whatever its rank. */
    long firstRequestDueAt = Long.MAX_VALUE;

    long ejectedUntil;

    int ejectionCount;

    /** An endpoint that has rejected an attempt is not used before then. */
    long saturatedUntil;

    /** Successes still needed to end probation, 0 outside of it. */
    int probationSuccessesLeft;

    /** Attempts that slow start allows now. */
    double slowStartTokens;

    long slowStartTokensAt;

    EndpointStats(Endpoint endpoint, int tieBreaker) {
        this.endpoint = endpoint;
        this.idHash = Hashing.hash(endpoint.id());
        this.tieBreaker = tieBreaker;
    }
}
