package loadbalancer.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Ordered delivery: requests with the same key, of classes with ordered delivery, are executed one at a time in the
 * order of arrival. After an attempt without an answer, which may still be running, the key pauses.
 */
final class KeySequencer {
    private final ActiveSettings settings;
    private final Map<Long, KeySequence> sequences = new LinkedHashMap<>();

    KeySequencer(ActiveSettings settings) {
        this.settings = settings;
    }

    /** Appends a request that has arrived to the sequence of its key. */
    void add(RequestState request) {
        request.sequence = sequences.computeIfAbsent(request.keyHash, unused -> new KeySequence());
        request.sequence.requests.add(request);
    }

    /** Whether the request may be sent: it is the first of its key, and the pause is over or it was sent before. */
    boolean isNext(RequestState request, long now) {
        KeySequence sequence = request.sequence;
        return sequence == null
                || sequence.requests.peekFirst() == request
                        && (now >= sequence.pausedUntil || !request.attempts.isEmpty());
    }

    /** Records the outcome of an attempt; the key pauses if the attempt may still be running. */
    void attemptEnded(AttemptState attempt, AttemptOutcome outcome, long now) {
        KeySequence sequence = attempt.request.sequence;
        boolean mayStillRun = attempt.mayHaveRun && outcome != AttemptOutcome.OK && outcome != AttemptOutcome.ERROR;
        if (sequence != null && mayStillRun) {
            long pauseMicros = settings.current().bounds().keySequencePauseMicros();
            sequence.pausedUntil = Math.max(sequence.pausedUntil, now + pauseMicros);
        }
    }

    /** Removes a request that has ended from its sequence, if it is in one. */
    void remove(RequestState request) {
        if (request.sequence != null) {
            request.sequence.requests.remove(request);
        }
    }

    /** Removes empty sequences whose pause is over. */
    void prune(long now) {
        sequences.values().removeIf(sequence -> sequence.requests.isEmpty() && now >= sequence.pausedUntil);
    }
}
