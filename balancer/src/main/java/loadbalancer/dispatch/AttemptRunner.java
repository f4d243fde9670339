package loadbalancer.dispatch;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.LoadReport;
import loadbalancer.transport.BodyStream;
import loadbalancer.transport.InboundRequest;
import loadbalancer.transport.UpstreamResponse;
import loadbalancer.upstream.UpstreamCall;
import loadbalancer.upstream.UpstreamConnectionPool;

/**
 * Sends the attempts that the policy requests, applies their timeouts and reports their outcomes to the policy. The
 * first successful response is forwarded to the client immediately. Used on the event loop's thread only.
 */
final class AttemptRunner {
    /** The permission of an attempt that no time limits. */
    static final long UNLIMITED_MICROS = Long.MAX_VALUE;

    /** The last attempt times out this long before the last-resort response, so that the policy can still respond. */
    private static final long POLICY_RESPONSE_MARGIN_MICROS = 6_000;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final OpenRequests openRequests;
    private final PolicyEventQueue events;
    private final LoadBalancingPolicy policy;
    private final LoadBalancingPolicy.Actions actions;
    private UpstreamConnectionPool connections;

    AttemptRunner(
            EventLoop loop,
            MonotonicClock clock,
            OpenRequests openRequests,
            PolicyEventQueue events,
            LoadBalancingPolicy policy,
            LoadBalancingPolicy.Actions actions) {
        this.loop = loop;
        this.clock = clock;
        this.openRequests = openRequests;
        this.events = events;
        this.policy = policy;
        this.actions = actions;
    }

    void attach(UpstreamConnectionPool pool) {
        connections = pool;
    }

    /**
     * Sends an attempt, or reports it as {@link AttemptOutcome#NOT_SENT} if it is not allowed.
     *
     * @param timeoutMicros the timeout of the attempt; 0 if only the deadline limits it
     * @param permittedMicros the time within which its last byte has to be written
     */
    void start(OpenRequest openRequest, String endpointId, long timeoutMicros, long permittedMicros) {
        long nowMicros = clock.nowMicros();
        Attempt attempt =
                new Attempt(openRequest, openRequest.attempts.size(), nowMicros, timeoutMicros, permittedMicros);
        openRequest.attempts.add(attempt);
        openRequest.attemptsInFlight++;
        InboundRequest request = openRequest.request;
        BodyStream streamedBody = request.streamedBody();
        long timeLeftMicros = timeLeftMicros(openRequest, nowMicros);
        long effectiveTimeoutMicros = timeoutMicros == 0 ? timeLeftMicros : Math.min(timeoutMicros, timeLeftMicros);
        if (!maySend(attempt, effectiveTimeoutMicros)) {
            end(attempt, AttemptOutcome.NOT_SENT, null, null);
            return;
        }
        openRequests.attemptStarted(openRequest);
        scheduleTimeout(attempt);
        if (!openRequest.isBodyComplete()) {
            streamedBody.whenComplete(() -> scheduleTimeout(attempt));
        }
        attempt.call = connections.send(endpointId, request, effectiveTimeoutMicros, new UpstreamCall.Listener() {
            @Override
            public boolean maySend() {
                return !attempt.ended && !openRequest.closed && timeLeftMicros(attempt) > 0;
            }

            @Override
            public void onResponseBegun() {
                attempt.responseBegun = true;
            }

            @Override
            public void onEnd(AttemptOutcome outcome, UpstreamResponse response, LoadReport load) {
                end(attempt, outcome, response, load);
            }
        });
    }

    private static boolean maySend(Attempt attempt, long effectiveTimeoutMicros) {
        OpenRequest openRequest = attempt.openRequest;
        BodyStream streamedBody = openRequest.request.streamedBody();
        return !openRequest.closed
                && effectiveTimeoutMicros > 0
                && attempt.number < openRequest.maxAttempts
                && (streamedBody == null || !streamedBody.isConsumed()) // a forwarded body can't be sent again
                && openRequest.responder.tryStartAttempt(attempt.number);
    }

    // Runs from the start of each attempt, so that it does not depend on the body, which may never arrive completely.
    // The end of the body starts it anew, as an upstream can respond only then.
    private void scheduleTimeout(Attempt attempt) {
        if (attempt.timeoutTimer != null) {
            attempt.timeoutTimer.cancel(false);
        }
        if (!attempt.ended) {
            attempt.timeoutTimer = loop.schedule(
                    () -> timeoutTimerExpired(attempt), Math.max(0, timeLeftMicros(attempt)), TimeUnit.MICROSECONDS);
        }
    }

    private void timeoutTimerExpired(Attempt attempt) {
        if (timeLeftMicros(attempt) > 0) {
            scheduleTimeout(attempt); // more of the body has arrived, it has been written, or the response has begun
        } else {
            boolean sending = attempt.call != null && attempt.call.isSending();
            abandon(attempt, AttemptOutcome.TIMEOUT, sending ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT);
        }
    }

    private long timeLeftMicros(Attempt attempt) {
        OpenRequest openRequest = attempt.openRequest;
        long nowMicros = clock.nowMicros();
        long timeLeftMicros = Math.min(attempt.permittedMicros(nowMicros), timeLeftMicros(openRequest, nowMicros));
        if (attempt.timeoutMicros == 0 || attempt.responseBegun || !openRequest.isBodyComplete()) {
            return timeLeftMicros;
        }
        long startMicros = Math.max(attempt.sentAtMicros, openRequest.completeAtMicros);
        return Math.min(timeLeftMicros, startMicros + attempt.timeoutMicros - nowMicros);
    }

    private static long timeLeftMicros(OpenRequest openRequest, long nowMicros) {
        return openRequest.timeLeftMicros(nowMicros)
                - RequestDispatcher.LAST_RESORT_MARGIN_MICROS
                - POLICY_RESPONSE_MARGIN_MICROS;
    }

    /** Cancels an attempt of the request; has no effect if the attempt does not exist or has ended. */
    void cancel(OpenRequest openRequest, int attemptNumber) {
        if (attemptNumber < openRequest.attempts.size()) {
            Attempt attempt = openRequest.attempts.get(attemptNumber);
            abandon(attempt, AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT);
        }
    }

    /**
     * Cancels all attempts whose last byte has not been written, for a request whose response is no longer needed: no
     * upstream has begun to run them.
     */
    void cancelUnsent(OpenRequest openRequest) {
        for (Attempt attempt : openRequest.attempts) {
            if (!attempt.ended && attempt.call != null && attempt.call.isUnsent()) {
                abandon(attempt, AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT);
            }
        }
    }

    // An upstream can't have run a request before its last byte was written.
    private void abandon(Attempt attempt, AttemptOutcome outcomeIfWritten, AttemptOutcome outcomeIfNotWritten) {
        if (!attempt.ended) {
            boolean written = attempt.call != null && attempt.call.abandon();
            end(attempt, written ? outcomeIfWritten : outcomeIfNotWritten, null, null);
        }
    }

    private void end(Attempt attempt, AttemptOutcome outcome, UpstreamResponse response, LoadReport load) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        if (attempt.timeoutTimer != null) {
            attempt.timeoutTimer.cancel(false);
        }
        OpenRequest openRequest = attempt.openRequest;
        openRequest.attemptsInFlight--;
        openRequests.attemptEnded(openRequest, outcome.neverRan());
        long startMicros = Math.max(attempt.sentAtMicros, openRequest.completeAtMicros);
        long latencyMicros = Math.max(0, clock.nowMicros() - startMicros);
        if (outcome == AttemptOutcome.OK && !openRequest.closed) {
            openRequests.closeAnswered(openRequest);
            openRequest.responder.respond(response);
            cancelUnsent(openRequest);
        }
        events.submit(nowMicros -> policy.outcome(
                nowMicros, openRequest.id, attempt.number, outcome, latencyMicros, openRequest.closed, load, actions));
        openRequests.removeIfDone(openRequest);
    }
}
