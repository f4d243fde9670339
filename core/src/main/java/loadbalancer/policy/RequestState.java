package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/** A request that is owed an answer or has attempts in flight. Plain state; times are microseconds. */
final class RequestState {
    final String id;

    /** Index of the class in the settings; it changes when new settings number the classes anew. */
    int classIndex;

    /** The class as it was when the request arrived. */
    final RequestClass requestClass;

    /** Hash of the key that the request concerns, 0 without one. */
    final long keyHash;

    final long arrivedAt;
    final long deadlineAt;

    /** When an answer is due by the latency objective of the class. */
    final long objectiveAt;

    /** Expected latency in multiples of the class's, by the client's hint of the work. */
    double relativeSize = 1;

    /** Whether it is over its tenant's quota, or late when it arrived. */
    final boolean lowPriority;

    final int maxAttempts;
    final List<AttemptState> attempts = new ArrayList<>(2);
    int attemptsInFlight;

    /** Whether the final answer has been given, or is owed to nobody. */
    boolean closed;

    boolean queued;
    boolean streaming;

    /** Whether its last attempt ended for want of capacity. */
    boolean lastAttemptOverloaded;

    /** Null for classes without ordered delivery. */
    KeySequence sequence;

    RequestState(
            String id,
            int classIndex,
            RequestClass requestClass,
            long keyHash,
            long arrivedAt,
            long timeLeftMicros,
            long objectiveAt,
            boolean overQuota,
            int maxAttempts) {
        this.id = id;
        this.classIndex = classIndex;
        this.requestClass = requestClass;
        this.keyHash = keyHash;
        this.arrivedAt = arrivedAt;
        this.deadlineAt = arrivedAt + timeLeftMicros;
        this.objectiveAt = Math.min(objectiveAt, deadlineAt);
        this.lowPriority = overQuota || objectiveAt <= arrivedAt;
        this.maxAttempts = maxAttempts;
    }

    boolean isIdempotent() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    /** Whether any attempt was sent to that start of the endpoint. */
    boolean wasSentTo(EndpointStats target) {
        for (AttemptState attempt : attempts) {
            if (attempt.target == target) {
                return true;
            }
        }
        return false;
    }
}
