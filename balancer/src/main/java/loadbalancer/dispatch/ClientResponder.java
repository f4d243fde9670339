package loadbalancer.dispatch;

import io.netty.handler.codec.http.HttpResponseStatus;
import loadbalancer.transport.UpstreamResponse;

/**
 * Writes the one final response to a client's request. Exactly one of {@link #respond}, {@link #reject},
 * {@link #rejectWith} and {@link #fail} is called, once, on the event loop's thread.
 */
public interface ClientResponder {
    /** Forwards an upstream's successful response. */
    void respond(UpstreamResponse response);

    /** The request has not run and a retry is harmless; {@code retryAfterMicros} 0 gives no advice. */
    void reject(long retryAfterMicros);

    /** The request has failed and may have run. */
    void fail();

    /** The request was rejected with that status before anything was sent. */
    default void rejectWith(HttpResponseStatus status, String reason) {
        fail();
    }

    /** Returns whether that attempt, numbered from 0, may be sent, and counts it where it may. */
    default boolean tryStartAttempt(int attemptNumber) {
        return true;
    }
}
