package loadbalancer.upstream;

import java.util.concurrent.Future;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.LoadReport;
import loadbalancer.transport.InboundRequest;
import loadbalancer.transport.UpstreamResponse;

/** One request to an upstream and the wait for its response. Used on the event loop's thread only. */
public final class UpstreamCall {
    /** Notified once when a call ends, unless the call is abandoned. */
    public interface Listener {
        /** {@code response} is null if there is none, {@code load} if there is no load report. */
        void onEnd(AttemptOutcome outcome, UpstreamResponse response, LoadReport load);

        /** Called when the head of a successful response has arrived, whose body may come late or slowly. */
        default void onResponseBegun() {}

        /**
         * Returns whether the request may still be sent. Asked right before its first byte is written, as it may have
         * waited for a connection; if not, the call ends as {@link AttemptOutcome#NOT_SENT}.
         */
        default boolean maySend() {
            return true;
        }
    }

    private enum State {
        /** No connection has been assigned yet. */
        NEW,
        /** A connection processes the call, or will do so once it is ready. */
        ASSIGNED,
        /** The listener has been notified, or the call has been abandoned. */
        ENDED
    }

    private static final long PROBE_TIMEOUT_MILLIS = 0; // a probe is sent without a deadline

    private InboundRequest request; // null once it has been written completely
    private final long timeoutMillis;
    private final long createdAtNanos = System.nanoTime();
    private final Listener listener;
    private State state = State.NEW;
    private UpstreamConnection connection; // null unless the state is ASSIGNED
    private Future<?> timeoutTimer;

    private UpstreamCall(InboundRequest request, long timeoutMillis, Listener listener) {
        this.request = request;
        this.timeoutMillis = timeoutMillis;
        this.listener = listener;
    }

    /** Creates a call that tells the upstream how long the balancer waits for the response. */
    static UpstreamCall of(InboundRequest request, long timeoutMicros, Listener listener) {
        return new UpstreamCall(request, Math.max(1, timeoutMicros / 1000), listener);
    }

    /** Creates a probe, which is sent without a deadline; the body of its response may be a load report. */
    static UpstreamCall ofProbe(InboundRequest request, Listener listener) {
        return new UpstreamCall(request, PROBE_TIMEOUT_MILLIS, listener);
    }

    InboundRequest request() {
        return request;
    }

    /** Called when the last byte of the request has been written: only the response is still awaited. */
    void requestWritten() {
        request = null;
    }

    boolean maySend() {
        return listener.maySend();
    }

    void responseBegun() {
        listener.onResponseBegun();
    }

    boolean isProbe() {
        return timeoutMillis == PROBE_TIMEOUT_MILLIS;
    }

    /** Returns the time that is left to wait for the response, at least 1 ms; 0 for a probe. */
    long timeLeftMillis() {
        if (isProbe()) {
            return 0;
        }
        long waitedMillis = (System.nanoTime() - createdAtNanos) / 1_000_000; // until a connection was ready
        return Math.max(1, timeoutMillis - waitedMillis);
    }

    /** Sets a timer that is cancelled when the call ends. */
    void setTimeoutTimer(Future<?> timer) {
        timeoutTimer = timer;
    }

    void assignTo(UpstreamConnection assigned) {
        connection = assigned;
        state = State.ASSIGNED;
    }

    /** Returns whether the call is assigned to a connection that has not written the request completely. */
    public boolean isUnsent() {
        return connection != null && !connection.hasSentRequest();
    }

    /** Returns whether a part of the request may have been written, but not its last byte. */
    public boolean isSending() {
        return connection != null && connection.hasStartedRequest() && !connection.hasSentRequest();
    }

    /**
     * Ends the call without notifying the listener. Its connection is closed if any of the request has been written.
     *
     * @return whether the request may have run, as its last byte has been written
     */
    public boolean abandon() {
        if (state != State.ASSIGNED) {
            return false;
        }
        UpstreamConnection assigned = connection;
        state = State.ENDED;
        connection = null;
        return assigned.abandonCall();
    }

    /** Ends the call and notifies the listener, unless the call has ended before. */
    void end(AttemptOutcome outcome, UpstreamResponse response, LoadReport load) {
        if (timeoutTimer != null) {
            timeoutTimer.cancel(false);
        }
        if (state != State.ENDED) {
            state = State.ENDED;
            connection = null;
            listener.onEnd(outcome, response, load);
        }
    }
}
