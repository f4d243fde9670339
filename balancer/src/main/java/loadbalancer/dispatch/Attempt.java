package loadbalancer.dispatch;

import java.util.concurrent.Future;
import loadbalancer.upstream.UpstreamCall;

/** One attempt of an open request. Used on the event loop's thread only. */
final class Attempt {
    final OpenRequest openRequest;
    final int number;
    final long sentAtMicros;
    final long timeoutMicros; // from the end of the body on; 0 if only the deadline limits the attempt
    UpstreamCall call; // null until the attempt has been passed to the connection pool
    Future<?> timeoutTimer;
    boolean ended;

    Attempt(OpenRequest openRequest, int number, long sentAtMicros, long timeoutMicros) {
        this.openRequest = openRequest;
        this.number = number;
        this.sentAtMicros = sentAtMicros;
        this.timeoutMicros = timeoutMicros;
    }
}
