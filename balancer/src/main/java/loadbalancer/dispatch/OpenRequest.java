package loadbalancer.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import loadbalancer.transport.InboundRequest;

/**
 * A request that is owed its final response, or that has it while attempts are still in flight. Belongs to the event
 * loop's thread.
 */
final class OpenRequest {
    final String id; // this process's own, as clients' ids may repeat
    final InboundRequest request;
    final ClientResponder responder;
    final int maxAttempts;
    final List<Attempt> attempts = new ArrayList<>(2);
    long deadlineMicros;
    long completeAtMicros; // when its last byte arrived; 0 before
    int attemptsInFlight;
    boolean closed; // it has had its final response, or its client has left
    Future<?> lastResort;

    OpenRequest(String id, InboundRequest request, ClientResponder responder, long deadlineMicros, int maxAttempts) {
        this.id = id;
        this.request = request;
        this.responder = responder;
        this.deadlineMicros = deadlineMicros;
        this.maxAttempts = maxAttempts;
    }
}
