package loadbalancer.http;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.transport.BodyStream;

/**
 * Bounds the time for which a client is not read while its request waits to be sent. That a client has left can be seen
 * only by reading all that it sent before, so behind a body that is not read there may be no client any more, and
 * nothing may be sent for it. A body that is being forwarded is not concerned: its attempt has begun. One object for
 * each client's connection; used on the event loop's thread only.
 */
final class UnreadClientGuard {
    /** Half of the time after which nothing may be sent for a client that has left. */
    private static final long MAX_UNREAD_MILLIS = 50;

    private final EventLoop loop;
    private final Consumer<BodyStream> onExpired;
    private Future<?> timer; // null while no time runs

    /** Creates a guard; {@code onExpired} gets a body that has not been read for too long. */
    UnreadClientGuard(EventLoop loop, Consumer<BodyStream> onExpired) {
        this.loop = loop;
        this.onExpired = onExpired;
    }

    /** Called at the end of each read; {@code upload} is the body that is arriving, or null. */
    void readCompleted(BodyStream upload) {
        if (upload != null && upload.isWaitingUnread() && timer == null) {
            timer = loop.schedule(() -> expired(upload), MAX_UNREAD_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void expired(BodyStream upload) {
        timer = null;
        if (upload.isWaitingUnread()) {
            onExpired.accept(upload);
        }
    }
}
