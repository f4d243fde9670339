package loadbalancer.http;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import loadbalancer.transport.BodyStream;

/**
 * The body of the request that is arriving on one client connection, if that body is streamed. Used on the event loop's
 * thread only.
 */
final class ArrivingUpload {
    private final UnreadClientGuard unreadClientGuard;
    private BodyStream body; // null: no streamed body is arriving
    private boolean answered; // the response to its request has begun

    /** Creates a connection's upload; {@code onUnread} is run if one waits and has not been read for too long. */
    ArrivingUpload(EventLoop loop, Runnable onUnread) {
        Consumer<BodyStream> listener = unread -> {
            if (unread == body) {
                onUnread.run();
            }
        };
        unreadClientGuard = new UnreadClientGuard(loop, listener);
    }

    /** Called when a streamed body begins to arrive. */
    void begin(BodyStream newBody, long earliestArrivalNanos) {
        body = newBody;
        body.readStarted(earliestArrivalNanos);
        answered = false;
    }

    /** Called when the last byte has arrived. */
    void end() {
        body = null;
    }

    /** Returns the body that is arriving, or null. */
    BodyStream body() {
        return body;
    }

    boolean isArriving() {
        return body != null;
    }

    /** Returns the time for which the body that is arriving was not read; 0 if none is arriving. */
    long pausedNanos() {
        return body == null ? 0 : body.pausedNanos();
    }

    /** Returns whether a body is arriving whose request has been answered, in part at least. */
    boolean isAnswered() {
        return body != null && answered;
    }

    /** Called when a response begins; {@code served} is the request that it belongs to. */
    void responseBegins(ServedRequest served) {
        answered |= served.hasBody(body);
    }

    /** Called when a read begins whose data has arrived at {@code earliestArrivalNanos} at the earliest. */
    void readStarted(long earliestArrivalNanos) {
        if (body != null) {
            body.readStarted(earliestArrivalNanos);
        }
    }

    /** Called when a read has left the socket empty. */
    void drained() {
        if (body != null) {
            body.drained();
        }
    }

    /** Called at the end of each read. */
    void readCompleted() {
        unreadClientGuard.readCompleted(body);
    }
}
