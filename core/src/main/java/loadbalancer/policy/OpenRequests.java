package loadbalancer.policy;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The requests that are owed an answer or have attempts in flight, and their end. A request leaves once its final
 * answer is given and all of its attempts have ended.
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

    /** The request of that id, or null. */
    RequestState get(String id) {
        return requests.get(id);
    }

    /** All of them, in the order of arrival. */
    Collection<RequestState> all() {
        return requests.values();
    }

    /** Ends an admitted request without success: rejected where the client may try again, else failed. */
    void endUnserved(RequestState request, LoadBalancingPolicy.Actions actions) {
        if (!request.lastAttemptOverloaded) {
            admission.recordCompletion();
        }
        endNotAdmitted(request, actions);
    }

    /** Ends a request that is not admitted: rejected where the client may try again without harm, else failed. */
    void endNotAdmitted(RequestState request, LoadBalancingPolicy.Actions actions) {
        request.closed = true;
        if (RetrySafetyRule.clientMayRetry(request)) {
            actions.reject(request.id, retryAfter.delayMicros(admission.shedLevel()));
        } else {
            actions.fail(request.id);
        }
        removeIfFinished(request);
    }

    /** Closes a request that is owed nothing more, and cancels its attempts where the site allows it. */
    void close(RequestState request, LoadBalancingPolicy.Actions actions) {
        request.closed = true;
        for (int i = 0; i < request.attempts.size(); i++) {
            boolean cancellable = request.attempts.get(i).inFlight && !request.streaming;
            if (cancellable && settings.current().limits().cancellationAllowed()) {
                actions.cancel(request.id, i);
            }
        }
    }

    /** Forgets the request if it is over. */
    void removeIfFinished(RequestState request) {
        if (request.closed && request.attemptsInFlight == 0) {
            requests.remove(request.id);
            sequencer.remove(request);
        }
    }
}
