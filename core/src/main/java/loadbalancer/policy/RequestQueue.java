package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Requests that wait because no endpoint may be used for them now. Requests within their quota are sent before those of
 * low priority, and among each of these the most urgent first.
 */
final class RequestQueue {
    /** A request may wait for at least the time from arrival to its latency objective, divided by this. */
    private static final int MIN_WAIT_DIVISOR = 4;

    /** How long before its latency objective a request must be sent, in expected latencies. */
    private static final int LATENCIES_BEFORE_OBJECTIVE = 2;

    /** How long before its deadline a request is answered, in ticks, so that the answer is in time. */
    private static final int TICKS_BEFORE_DEADLINE = 2;

    private final ActiveSettings settings;
    private final LatencyTracker latencies;
    private final List<RequestState> withinQuota = new ArrayList<>();
    private final List<RequestState> lowPriority = new ArrayList<>();

    RequestQueue(ActiveSettings settings, LatencyTracker latencies) {
        this.settings = settings;
        this.latencies = latencies;
    }

    private List<RequestState> queueOf(RequestState request) {
        return request.lowPriority ? lowPriority : withinQuota;
    }

    /** Whether the request must be answered now because its deadline is near. */
    boolean isOutOfTime(RequestState request, long now) {
        return now >= request.deadlineAt - TICKS_BEFORE_DEADLINE * settings.tickMicros();
    }

    /** Adds the request to the queue, unless it is queued already. */
    void enqueue(RequestState request) {
        if (request.queued) {
            return;
        }
        request.queued = true;
        List<RequestState> queue = queueOf(request);
        int index = queue.size();
        while (index > 0 && latestSendAt(queue.get(index - 1)) > latestSendAt(request)) {
            index--;
        }
        queue.add(index, request);
    }

    /** Removes the request from the queue, if it is queued. */
    void dequeue(RequestState request) {
        if (request.queued) {
            request.queued = false;
            queueOf(request).remove(request);
        }
    }

    /**
     * Sends queued requests in order. It stops at the first request that can't be sent although it may go to any
     * endpoint, because then no endpoint is free.
     *
     * @param send sends a request if possible, and returns whether it was sent
     */
    void drain(Predicate<RequestState> send) {
        if (drain(withinQuota, send)) {
            drain(lowPriority, send);
        }
    }

    // Returns false if no endpoint is free.
    private static boolean drain(List<RequestState> queue, Predicate<RequestState> send) {
        Iterator<RequestState> iterator = queue.iterator();
        while (iterator.hasNext()) {
            RequestState request = iterator.next();
            if (request.closed || send.test(request)) {
                request.queued = false;
                iterator.remove();
            } else if (mayUseAnyEndpoint(request)) {
                return false;
            }
        }
        return true;
    }

    private static boolean mayUseAnyEndpoint(RequestState request) {
        return request.attempts.isEmpty() && request.sequence == null && PlacementRule.permitsAll(request.requestClass);
    }

    /**
     * Returns the requests that must get their final answer now. A request that was never sent expires as soon as it
     * can no longer meet its latency objective, and one that may have run as soon as it may not be sent again; any
     * other request expires shortly before its deadline.
     */
    List<RequestState> expired(long now) {
        List<RequestState> expired = new ArrayList<>();
        for (List<RequestState> queue : List.of(withinQuota, lowPriority)) {
            for (RequestState request : queue) {
                if (isOutOfTime(request, now)
                        || request.attempts.isEmpty() && now >= latestSendAt(request)
                        || !mayStillBeSent(request, now)) {
                    expired.add(request);
                }
            }
        }
        return expired;
    }

    private boolean mayStillBeSent(RequestState request, long now) {
        AttemptState first = RetrySafetyRule.firstThatMayHaveRun(request);
        return RetrySafetyRule.permittedMicros(request, first, now, settings.tickMicros()) > 0;
    }

    // When the request must be sent to meet its latency objective. A request that is past its objective on arrival
    // does not wait.
    private long latestSendAt(RequestState request) {
        if (request.objectiveAt <= request.arrivedAt) {
            return request.arrivedAt;
        }
        long expectedMicros = (long) (LATENCIES_BEFORE_OBJECTIVE * latencies.expectedMicros(request.classIndex));
        return Math.max(
                request.arrivedAt + (request.objectiveAt - request.arrivedAt) / MIN_WAIT_DIVISOR,
                request.objectiveAt - expectedMicros);
    }
}
