package loadbalancer.policy;

import java.util.List;

/**
 * Sends requests to endpoints as the rules allow, and queues those that can't be sent now. It takes a request through
 * delivery order, candidates and selection, and records each attempt in the classes that count attempts.
 */
final class AttemptDispatcher {
    private final PolicyComponents components;

    AttemptDispatcher(PolicyComponents components) {
        this.components = components;
    }

    /** Sends the request if an endpoint may be used now; otherwise queues it, or ends it if its deadline is near. */
    void sendOrQueue(RequestState request, long now, LoadBalancingPolicy.Actions actions) {
        if (sendIfPossible(request, now, actions)) {
            return;
        }
        if (components.queue.isOutOfTime(request, now) || !mayStillBeSent(request, now)) {
            components.openRequests.endUnserved(request, actions);
        } else {
            components.queue.enqueue(request);
        }
    }

    /** Whether the request may be sent to any endpoint, now or later. */
    boolean mayStillBeSent(RequestState request, long now) {
        return permittedMicros(request, now) > 0;
    }

    private long permittedMicros(RequestState request, long now) {
        AttemptState first = RetrySafetyRule.firstThatMayHaveRun(request);
        return RetrySafetyRule.permittedMicros(request, first, now, components.settings.tickMicros());
    }

    /** Sends queued requests to endpoints that are free. */
    void drainQueue(long now, LoadBalancingPolicy.Actions actions) {
        components.queue.drain(request -> sendIfPossible(request, now, actions));
    }

    /** Sends the request to an endpoint that it has not been sent to; returns false if there is none. */
    boolean sendElsewhere(RequestState request, long now, LoadBalancingPolicy.Actions actions) {
        List<EndpointStats> untried = components.candidates.candidates(request, now);
        untried.removeIf(request::wasSentTo);
        if (untried.isEmpty()) {
            return false;
        }
        send(request, components.selector.select(untried, now), now, actions);
        return true;
    }

    private boolean sendIfPossible(RequestState request, long now, LoadBalancingPolicy.Actions actions) {
        if (!components.sequencer.isNext(request, now)) {
            return false;
        }
        List<EndpointStats> allowed = components.candidates.candidates(request, now);
        if (allowed.isEmpty()) {
            return false;
        }
        EndpointStats due = components.candidates.dueForFirstRequest(request, now);
        send(request, due != null ? due : components.selector.select(allowed, now), now, actions);
        return true;
    }

    private void send(RequestState request, EndpointStats target, long now, LoadBalancingPolicy.Actions actions) {
        long permittedMicros = permittedMicros(request, now);
        AttemptState attempt = new AttemptState(target, request, now);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        target.attempts.add(attempt);
        target.firstRequestDueAt = Long.MAX_VALUE;
        components.queueLengths.attemptStarted(target);
        components.ranking.credit(target);
        components.slowStart.spend(target);
        long timeoutMicros = ResponseTimeoutRule.timeoutMicros(request, now);
        if (permittedMicros == RetrySafetyRule.UNLIMITED_MICROS) {
            actions.send(request.id, target.endpoint.id(), timeoutMicros);
        } else {
            actions.send(request.id, target.endpoint.id(), timeoutMicros, permittedMicros);
        }
    }
}
