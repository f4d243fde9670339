package loadbalancer.policy;

import java.util.ArrayDeque;

/** The open requests with one key of classes with ordered delivery, in the order of arrival. Plain state. */
final class KeySequence {
    final ArrayDeque<RequestState> requests = new ArrayDeque<>();

    /** Attempts of a request that has ended may still run until then. */
    long pausedUntil;
}
