package loadbalancer.policy;

import java.util.ArrayDeque;

/** The open requests of one key, in the order of arrival, for classes with ordered delivery. */
final class KeySequence {
    final ArrayDeque<RequestState> requests = new ArrayDeque<>();

    /** Until this time, an attempt of a request that has ended may still be running. */
    long pausedUntil;
}
