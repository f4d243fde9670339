package loadbalancer.upstream;

import java.util.concurrent.Future;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.LoadReport;
import loadbalancer.transport.InboundRequest;
import loadbalancer.transport.UpstreamResponse;

/** One request on its way to an upstream. Belongs to the event loop's thread. */
public final class UpstreamCall {
    /** Gets the end of a call, once, unless the call is abandoned. */
    public interface Listener {
        /** {@code response} is null where none came, {@code load} where no report came with it. */
        void onEnd(AttemptOutcome outcome, UpstreamResponse response, LoadReport load);
    }

    private enum State {
        /** No connection has been assigned yet. */
        NEW,
        /** A connection carries the call, or is to carry it once it is ready. */
        ASSIGNED,
        /** The listener has been notified, or the call has been abandoned. */
        ENDED
    }

    private static final long PROBE = 0;

    private final InboundRequest request;
    private final long timeoutMillis;
    private final long createdAtNanos = System.nanoTime();
    private final Listener listener;
    private State state = State.NEW;
    private UpstreamConnection connection; // set while ASSIGNED
    private Future<?> timeout;

    private UpstreamCall(InboundRequest request, long timeoutMillis, Listener listener) {
        this.request = request;
        this.timeoutMillis = timeoutMillis;
        this.listener = listener;
    }

    /** Creates a call that carries how long its response is waited for to the upstream. */
    static UpstreamCall of(InboundRequest request, long timeoutMicros, Listener listener) {
        return new UpstreamCall(request, Math.max(1, timeoutMicros / 1000), listener);
    }

    /** Creates a probe: it carries no deadline, and the body of its response may be a load report. */
    static UpstreamCall ofProbe(InboundRequest request, Listener listener) {
        return new UpstreamCall(request, PROBE, listener);
    }

    InboundRequest request() {
        return request;
    }

    boolean isProbe() {
        return timeoutMillis == PROBE;
    }

    /** Returns how long the response is still waited for, at least 1 ms; 0 for a probe. */
    long timeLeftMillis() {
        if (isProbe()) {
            return 0;
        }
        long waitedMillis = (System.nanoTime() - createdAtNanos) / 1_000_000; // for a connection
        return Math.max(1, timeoutMillis - waitedMillis);
    }

    /** Cancels {@code timer} when the call ends. */
    void setTimeout(Future<?> timer) {
        timeout = timer;
    }

    void assignTo(UpstreamConnection carrier) {
        connection = carrier;
        state = State.ASSIGNED;
    }

    /** Returns whether nothing of the request has been written: it waits for its connection. */
    public boolean isWaitingForConnection() {
        return connection != null && !connection.hasStartedRequest();
    }

    /**
     * Stops waiting without notifying the listener; a connection that has been sent any of the request is closed.
     *
     * @return whether the request may have run: its last byte has been written
     */
    public boolean abandon() {
        if (state != State.ASSIGNED) {
            return false;
        }
        UpstreamConnection carrier = connection;
        state = State.ENDED;
        connection = null;
        return carrier.abandonCall();
    }

    /** Notifies the listener, unless the call has ended. */
    void end(AttemptOutcome outcome, UpstreamResponse response, LoadReport load) {
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (state != State.ENDED) {
            state = State.ENDED;
            connection = null;
            listener.onEnd(outcome, response, load);
        }
    }
}
