package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/** State of an open request: one that awaits its final answer or has attempts in flight. Times are microseconds. */
final class RequestState {
    final String id;

    /** Index of the class in the settings; it changes when new settings change the order of the classes. */
    int classIndex;

    /** The class as it was configured when the request arrived. */
    final RequestClass requestClass;

    /** Hash of the key that the request concerns, or 0 if it has no key. */
    final long keyHash;

    final long arrivedAt;
    final long deadlineAt;

    /** When the latency objective ends, at the latest at the deadline. */
    final long objectiveAt;

    /** Expected latency as a multiple of that of the class, derived from the client's hint of the work. */
    double relativeSize = 1;

    /** Whether the request is over its tenant's quota, or was past its latency objective on arrival. */
    final boolean lowPriority;

    final int maxAttempts;
    final List<AttemptState> attempts = new ArrayList<>(2);
    int attemptsInFlight;

    /** Whether the final answer has been given, or the client has disconnected. */
    boolean closed;

    boolean queued;

    /** Whether a streamed answer has begun. */
    boolean streaming;

    /** Whether the last attempt was rejected for lack of capacity or timed out. */
    boolean lastAttemptOverloaded;

    /** The sequence of the request's key; null without ordered delivery. */
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

    /** Whether any attempt was sent to this start of the endpoint. */
    boolean wasSentTo(EndpointStats target) {
        for (AttemptState attempt : attempts) {
            if (attempt.target == target) {
                return true;
            }
        }
        return false;
    }
}
