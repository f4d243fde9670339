package loadbalancer.dispatch;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The table of open requests, and the listeners that wait until no response is pending. Used on the event loop's
 * thread only.
 */
final class OpenRequests {
    private final EventLoop loop;
    private final Map<String, OpenRequest> byId = new HashMap<>();
    private final Set<String> clientIds = new HashSet<>(); // the ids that the clients chose for these requests
    private final UnansweredIds unansweredIds;
    private final List<Runnable> idleListeners = new ArrayList<>(1);
    private int unanswered;

    OpenRequests(EventLoop loop, UnansweredIds unansweredIds) {
        this.loop = loop;
        this.unansweredIds = unansweredIds;
    }

    void add(OpenRequest openRequest) {
        byId.put(openRequest.id, openRequest);
        clientIds.add(openRequest.request.id());
        unanswered++;
    }

    /** Returns the request with this {@link OpenRequest#id}, or null. */
    OpenRequest find(String id) {
        return byId.get(id);
    }

    /** Returns whether a request with this id of the client is open, or may have run without an answer. */
    boolean containsClientId(String clientId) {
        return clientIds.contains(clientId) || unansweredIds.contains(clientId);
    }

    int unanswered() {
        return unanswered;
    }

    /** Called before an attempt of the request is sent. */
    void attemptStarted(OpenRequest openRequest) {
        if (!openRequest.repeatable) {
            unansweredIds.sent(openRequest.request.id());
        }
    }

    /** Called when an attempt of the request has ended. */
    void attemptEnded(OpenRequest openRequest, boolean neverRan) {
        openRequest.mayHaveRun |= !neverRan;
        if (!openRequest.mayHaveRun && openRequest.attemptsInFlight == 0) {
            unansweredIds.settled(openRequest.request.id());
        }
    }

    /** Closes a request that gets its final response now. */
    void closeAnswered(OpenRequest openRequest) {
        unansweredIds.settled(openRequest.request.id());
        close(openRequest);
    }

    /** Marks a request as not awaiting a response; it remains in the table while attempts are in flight. */
    void close(OpenRequest openRequest) {
        openRequest.closed = true;
        openRequest.request = openRequest.request.withoutContent(); // attempts may be in flight for long
        if (openRequest.lastResortTimer != null) {
            openRequest.lastResortTimer.cancel(false);
        }
        unanswered--;
        if (unanswered == 0 && !idleListeners.isEmpty()) {
            idleListeners.forEach(loop::execute);
            idleListeners.clear();
        }
    }

    /** Removes a request if it is closed and has no attempt in flight. */
    void removeIfDone(OpenRequest openRequest) {
        if (openRequest.closed && openRequest.attemptsInFlight == 0 && byId.remove(openRequest.id) != null) {
            clientIds.remove(openRequest.request.id());
        }
    }

    /** Runs {@code listener} on the event loop once no response is pending. */
    void whenIdle(Runnable listener) {
        if (unanswered == 0) {
            loop.execute(listener);
        } else {
            idleListeners.add(listener);
        }
    }
}
