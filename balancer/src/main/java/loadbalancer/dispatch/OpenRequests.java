package loadbalancer.dispatch;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The table of open requests, and who waits until none is owed a response. Belongs to the event loop's thread.
 */
final class OpenRequests {
    private final EventLoop loop;
    private final Map<String, OpenRequest> byId = new HashMap<>();
    private final Set<String> clientIds = new HashSet<>(); // the clients' own ids of what is in the table
    private final List<Runnable> idleListeners = new ArrayList<>(1);
    private int unanswered;

    OpenRequests(EventLoop loop) {
        this.loop = loop;
    }

    void add(OpenRequest openRequest) {
        byId.put(openRequest.id, openRequest);
        clientIds.add(openRequest.request.id());
        unanswered++;
    }

    /** Returns the request of that id of this process's own, or null. */
    OpenRequest find(String id) {
        return byId.get(id);
    }

    boolean containsClientId(String clientId) {
        return clientIds.contains(clientId);
    }

    int unanswered() {
        return unanswered;
    }

    /** Nothing more is owed for the request; it stays in the table while attempts of it are in flight. */
    void close(OpenRequest openRequest) {
        openRequest.closed = true;
        if (openRequest.lastResort != null) {
            openRequest.lastResort.cancel(false);
        }
        unanswered--;
        if (unanswered == 0 && !idleListeners.isEmpty()) {
            idleListeners.forEach(loop::execute);
            idleListeners.clear();
        }
    }

    /** Forgets a request that is closed and has no attempt in flight. */
    void removeIfDone(OpenRequest openRequest) {
        if (openRequest.closed && openRequest.attemptsInFlight == 0 && byId.remove(openRequest.id) != null) {
            clientIds.remove(openRequest.request.id());
        }
    }

    /** Runs {@code listener} on the event loop once no response is owed. */
    void whenIdle(Runnable listener) {
        if (unanswered == 0) {
            loop.execute(listener);
        } else {
            idleListeners.add(listener);
        }
    }
}
