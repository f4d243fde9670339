package loadbalancer.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import loadbalancer.transport.InboundRequest;

/**
 * A request without a final response, or with one while attempts are still in flight. Used on the event loop's thread
 * only.
 */
final class OpenRequest {
    final String id; // assigned by this process, as the ids that clients choose may repeat
    InboundRequest request; // without its headers and its body once it is closed
    final ClientResponder responder;
    final int maxAttempts;
    final List<Attempt> attempts = new ArrayList<>(2);
    long deadlineMicros;
    long completeAtMicros; // when its last byte arrived; 0 until then
    int attemptsInFlight;
    boolean closed; // it has its final response, or its client has disconnected
    Future<?> lastResortTimer;

    OpenRequest(String id, InboundRequest request, ClientResponder responder, long deadlineMicros, int maxAttempts) {
        this.id = id;
        this.request = request;
        this.responder = responder;
        this.deadlineMicros = deadlineMicros;
        this.maxAttempts = maxAttempts;
    }
}
