package loadbalancer.upstream;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import loadbalancer.transport.UpstreamResponse;

/**
 * Whether one connection to an upstream may carry the next request. A response of HTTP/1.1 does not say which request
 * it belongs to, so bytes that an upstream sends behind a response would be taken for the response to the next request,
 * however late they come: the time since the response proves nothing.
 *
 * <p>What proves something is the order of the bytes on a connection. Behind each response a health check is sent, and
 * the response to it comes behind everything that the upstream sent before. No client gets that response, so a health
 * check is the one request for which nothing has to be proven. The first check of a connection shows what the response
 * to it looks like, as only one other response can be copied by then; if a response to a check looks different, or like
 * the response before it, nothing is proven and the connection is closed. A new connection needs no check.
 *
 * <p>An upstream may still send a copy after its response to the health check. A response that equals an earlier one of
 * its connection, or that looks like the response to the check, is therefore confirmed by another check behind it: if
 * what comes next is not the response to that check, it is the one to the request.
 *
 * <p>Holds the state only, and performs no I/O.
 */
final class ReuseCheck {
    /** How long a connection rests before its health check; an upstream may send a copy some milliseconds late. */
    static final long REST_MICROS = TimeUnit.MILLISECONDS.toMicros(10);

    private enum State {
        /** No byte of an earlier response is still to come, or the connection carries a request. */
        PROVEN,
        /** A response has ended, and its health check has not been sent. */
        RESTING,
        /** The response to the health check is awaited. */
        CHECKING,
        /** A further health check has been sent behind a response that may be a copy. */
        CONFIRMING
    }

    /**
     * By what a response can be told from another.
     *
     * @param status the status code
     * @param bodyBytes the length of the body
     * @param bodyHash the hash of the body; 0 if it was streamed
     * @param headersHash the hash of the headers
     */
    record Fingerprint(int status, long bodyBytes, int bodyHash, int headersHash) {
        /** Returns the fingerprint of a buffered response. */
        static Fingerprint of(UpstreamResponse response) {
            return new Fingerprint(
                    response.status(),
                    response.body().length,
                    Arrays.hashCode(response.body()),
                    response.headers().hashCode());
        }

        /** Returns the fingerprint of a streamed response whose body had {@code bodyBytes}. */
        static Fingerprint ofStreamed(UpstreamResponse response, long bodyBytes) {
            return new Fingerprint(
                    response.status(), bodyBytes, 0, response.headers().hashCode());
        }

        private boolean hasContentOf(Fingerprint other) {
            return status == other.status && bodyBytes == other.bodyBytes && bodyHash == other.bodyHash;
        }
    }

    /** How many responses a copy may be late. */
    private static final int REMEMBERED_RESPONSES = 8;

    private final ArrayDeque<Fingerprint> responses = new ArrayDeque<>(REMEMBERED_RESPONSES); // the last one is last
    private State state = State.PROVEN;
    private Fingerprint checkResponse; // the response to the first health check; null if there was none

    /** Returns whether a request may be sent now. */
    boolean isProven() {
        return state == State.PROVEN;
    }

    /** Returns whether the next response is the one to a health check. */
    boolean isChecking() {
        return state == State.CHECKING;
    }

    /** Returns whether a health check is out behind a response that may be a copy. */
    boolean isConfirming() {
        return state == State.CONFIRMING;
    }

    /** Called when a response has ended, before the connection is idle. */
    void responseEnded(Fingerprint response) {
        remember(response);
        state = State.RESTING;
    }

    private void remember(Fingerprint response) {
        if (responses.size() == REMEMBERED_RESPONSES) {
            responses.removeFirst();
        }
        responses.addLast(response);
    }

    /** Called when the health check is sent. */
    void checkSent() {
        state = State.CHECKING;
    }

    /** Called with the response to the health check; returns whether it proves that a request may be sent. */
    boolean accept(Fingerprint response) {
        boolean expected = checkResponse == null || response.hasContentOf(checkResponse);
        if (!expected || responses.contains(response)) {
            return false;
        }
        checkResponse = response;
        state = State.PROVEN;
        return true;
    }

    /** Returns whether a response may be a copy of an earlier one, and can be confirmed. */
    boolean mayBeCopy(Fingerprint response) {
        return checkResponse != null && (responses.contains(response) || response.hasContentOf(checkResponse));
    }

    /** Called when a health check is sent behind such a response. */
    void confirmationSent() {
        state = State.CONFIRMING;
    }

    /**
     * Called with the response that follows a response which may be a copy; returns whether that was none. If so, the
     * connection may carry the next request.
     */
    boolean confirm(Fingerprint held, Fingerprint next) {
        if (!next.hasContentOf(checkResponse)) {
            return false;
        }
        remember(held);
        state = State.PROVEN;
        return true;
    }
}
