package loadbalancer.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import loadbalancer.transport.BodyStream;
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
    final boolean repeatable; // it may run more than once
    boolean mayHaveRun; // an attempt has ended that may have run
    final List<Attempt> attempts = new ArrayList<>(2);
    private long deadlineMicros;
    long completeAtMicros; // when its last byte was read; 0 until then
    int attemptsInFlight;
    boolean closed; // it has its final response, or its client has disconnected
    Future<?> lastResortTimer;

    OpenRequest(
            String id,
            InboundRequest request,
            ClientResponder responder,
            long nowMicros,
            int maxAttempts,
            boolean repeatable) {
        this.id = id;
        this.request = request;
        this.responder = responder;
        this.maxAttempts = maxAttempts;
        this.repeatable = repeatable;
        updateDeadline(nowMicros);
    }

    /** Returns the time until the client's deadline; with a body that is still arriving, it does not always fall. */
    long timeLeftMicros(long nowMicros) {
        if (request.streamedBody() != null && completeAtMicros == 0) {
            updateDeadline(nowMicros);
        }
        return deadlineMicros - nowMicros;
    }

    // The deadline counts from the last byte of the request. While the body is arriving, it counts from the earliest
    // time at which the client can have sent that byte: the rest may wait in the socket, whose reading may be paused.
    private void updateDeadline(long nowMicros) {
        BodyStream body = request.streamedBody();
        long sinceLastByteMicros = body == null ? 0 : (System.nanoTime() - body.earliestLastByteNanos()) / 1000;
        deadlineMicros = nowMicros - sinceLastByteMicros + request.timeLeftMicros();
    }

    /** Called when the last byte of the request has been read. */
    void bodyCompleted(long nowMicros) {
        updateDeadline(nowMicros);
        completeAtMicros = nowMicros;
    }

    /** Returns whether the last byte of the request has been read. */
    boolean isBodyComplete() {
        return completeAtMicros > 0;
    }
}
