package loadbalancer.policy;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The open requests, in the order of arrival, and the ways in which they end. A request is open until it has had its
 * final answer and all of its attempts have ended.
 */
final class OpenRequests {
    private final ActiveSettings settings;
    private final AdmissionController admission;
    private final KeySequencer sequencer;
    private final RetryAfterAdvice retryAfter;
    private final Map<String, RequestState> requests = new LinkedHashMap<>();

    OpenRequests(
            ActiveSettings settings,
            AdmissionController admission,
            KeySequencer sequencer,
            RetryAfterAdvice retryAfter) {
        this.settings = settings;
        this.admission = admission;
        this.sequencer = sequencer;
        this.retryAfter = retryAfter;
    }

    /** Adds a request that has arrived. */
    void add(RequestState request) {
        requests.put(request.id, request);
    }

    /** The open request with this id, or null. */
    RequestState get(String id) {
        return requests.get(id);
    }

    /** All open requests, in the order of arrival. */
    Collection<RequestState> all() {
        return requests.values();
    }

    /** Ends an admitted request without success: rejects it if the client may safely retry, otherwise fails it. */
    void endUnserved(RequestState request, LoadBalancingPolicy.Actions actions) {
        if (!request.lastAttemptOverloaded) {
            admission.recordCompletion();
        }
        endNotAdmitted(request, actions);
    }

    /** Ends a request that was not admitted: rejects it if the client may safely retry, otherwise fails it. */
    void endNotAdmitted(RequestState request, LoadBalancingPolicy.Actions actions) {
        request.closed = true;
        if (RetrySafetyRule.clientMayRetry(request)) {
            actions.reject(request.id, retryAfter.delayMicros(admission.shedLevel()));
        } else {
            actions.fail(request.id);
        }
        removeIfFinished(request);
    }

    /** Closes a request that needs no further answer, and cancels its attempts if the site allows cancellation. */
    void close(RequestState request, LoadBalancingPolicy.Actions actions) {
        request.closed = true;
        for (int i = 0; i < request.attempts.size(); i++) {
            boolean cancellable = request.attempts.get(i).inFlight && !request.streaming;
            if (cancellable && settings.current().limits().cancellationAllowed()) {
                actions.cancel(request.id, i);
            }
        }
    }

    /** Removes the request if it is closed and none of its attempts is in flight. */
    void removeIfFinished(RequestState request) {
        if (request.closed && request.attemptsInFlight == 0) {
            requests.remove(request.id);
            sequencer.remove(request);
        }
    }
}
