package loadbalancer.dispatch;

import java.util.concurrent.Future;
import loadbalancer.upstream.UpstreamCall;

/** One attempt of an open request. Belongs to the event loop's thread. */
final class Attempt {
    final OpenRequest openRequest;
    final int number;
    final long sentAtMicros;
    UpstreamCall call; // null until the attempt has been handed to the upstream's connections
    Future<?> timeout;
    boolean ended;

    Attempt(OpenRequest openRequest, int number, long sentAtMicros) {
        this.openRequest = openRequest;
        this.number = number;
        this.sentAtMicros = sentAtMicros;
    }
}
