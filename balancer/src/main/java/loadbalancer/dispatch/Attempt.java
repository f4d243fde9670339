package loadbalancer.dispatch;

import java.util.concurrent.Future;
import loadbalancer.upstream.UpstreamCall;

/** One attempt of an open request. Used on the event loop's thread only. */
final class Attempt {
    final OpenRequest openRequest;
    final int number;
    final long sentAtMicros;
    final long timeoutMicros; // from the end of the body on; 0 if only the deadline limits the attempt
    private final long permittedUntilMicros; // its last byte may not be written later
    UpstreamCall call; // null until the attempt has been passed to the connection pool
    Future<?> timeoutTimer;
    boolean responseBegun; // from then on only the deadline limits the attempt
    boolean ended;

    Attempt(OpenRequest openRequest, int number, long sentAtMicros, long timeoutMicros, long permittedMicros) {
        this.openRequest = openRequest;
        this.number = number;
        this.sentAtMicros = sentAtMicros;
        this.timeoutMicros = timeoutMicros;
        this.permittedUntilMicros = permittedMicros == AttemptRunner.UNLIMITED_MICROS
                ? AttemptRunner.UNLIMITED_MICROS
                : sentAtMicros + permittedMicros;
    }

    /** Returns for how long the last byte may still be written; unlimited once it has been. */
    long permittedMicros(long nowMicros) {
        boolean written = call != null && !call.isUnsent();
        return written || permittedUntilMicros == AttemptRunner.UNLIMITED_MICROS
                ? AttemptRunner.UNLIMITED_MICROS
                : permittedUntilMicros - nowMicros;
    }
}
