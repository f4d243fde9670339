package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Requests that wait because no endpoint may be used for them now: first those within their quota, then those of low
 * priority, and the most urgent first among each.
 */
final class RequestQueue {
    /** A request has at least the inverse of this of the time to its latency objective for waiting. */
    private static final int MIN_WAIT_DIVISOR = 4;

    /** Expected latencies before the latency objective at which a request must be sent. */
    private static final int LATENCIES_BEFORE_OBJECTIVE = 2;

    /** Ticks before the deadline at which a request is answered, so that the answer is in time. */
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

    /** Whether the request must be answered now, as its deadline is near. */
    boolean isOutOfTime(RequestState request, long now) {
        return now >= request.deadlineAt - TICKS_BEFORE_DEADLINE * settings.tickMicros();
    }

    /** Queues a request; does nothing where it is queued already. */
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

    /** Removes the request from the queue, if it is there. */
    void dequeue(RequestState request) {
        if (request.queued) {
            request.queued = false;
            queueOf(request).remove(request);
        }
    }

    /**
     * Offers the requests in their order until one can't be sent for which any endpoint would do, as none is free then.
     *
     * @param send sends a request if it can, and says whether it did
     */
    void drain(Predicate<RequestState> send) {
        if (drain(withinQuota, send)) {
            drain(lowPriority, send);
        }
    }

    // False where no endpoint is free.
    private static boolean drain(List<RequestState> queue, Predicate<RequestState> send) {
        Iterator<RequestState> next = queue.iterator();
        while (next.hasNext()) {
            RequestState request = next.next();
            if (request.closed || send.test(request)) {
                request.queued = false;
                next.remove();
            } else if (anyEndpointWouldDo(request)) {
                return false;
            }
        }
        return true;
    }

    private static boolean anyEndpointWouldDo(RequestState request) {
        return request.attempts.isEmpty() && request.sequence == null && PlacementRule.permitsAll(request.requestClass);
    }

    /**
     * Requests that must be answered now, so that each gets its final answer in time. Those that were never sent are
     * answered as soon as they can't be in time for their latency objective, others shortly before their deadline.
     */
    List<RequestState> expired(long now) {
        List<RequestState> expired = new ArrayList<>();
        for (List<RequestState> queue : List.of(withinQuota, lowPriority)) {
            for (RequestState request : queue) {
                if (isOutOfTime(request, now) || request.attempts.isEmpty() && now >= latestSendAt(request)) {
                    expired.add(request);
                }
            }
        }
        return expired;
    }

    // When a request must be sent to be answered within its latency objective; one that is late already doesn't wait.
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
