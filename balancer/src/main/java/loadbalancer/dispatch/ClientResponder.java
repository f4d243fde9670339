package loadbalancer.dispatch;

import io.netty.handler.codec.http.HttpResponseStatus;
import loadbalancer.transport.UpstreamResponse;

/**
 * Writes the final response to a client's request. Exactly one of {@link #respond}, {@link #reject},
 * {@link #rejectWith} and {@link #fail} is called, once, on the event loop's thread.
 */
public interface ClientResponder {
    /** Forwards the successful response of an upstream. */
    void respond(UpstreamResponse response);

    /**
     * Rejects the request, which has not run, so that the client may safely retry it.
     *
     * @param retryAfterMicros when the client should retry; 0 to leave that to the client
     */
    void reject(long retryAfterMicros);

    /** Reports that the request has failed; it may have run. */
    void fail();

    /** Rejects the request with {@code status}; nothing of it has been sent to an upstream. */
    default void rejectWith(HttpResponseStatus status, String reason) {
        fail();
    }

    /** Returns whether an attempt, numbered from 0, may be sent; if so, counts it against the retry budget. */
    default boolean tryStartAttempt(int attemptNumber) {
        return true;
    }
}
