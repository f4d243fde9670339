package loadbalancer.dispatch;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.LoadReport;
import loadbalancer.transport.BodyStream;
import loadbalancer.transport.InboundRequest;
import loadbalancer.transport.UpstreamResponse;
import loadbalancer.upstream.UpstreamConnectionPool;

/**
 * Sends the attempts that the policy asks for, limits their time and reports their outcomes; a first success is
 * forwarded to the client at once. Belongs to the event loop's thread.
 */
final class AttemptRunner {
    /** The last attempt ends this long before the last-resort response, so that the policy can choose the response. */
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

    /** Sends an attempt, or reports it as not sent where it may not be; {@code timeoutMicros} 0: until the deadline. */
    void start(OpenRequest openRequest, String endpointId, long timeoutMicros) {
        long nowMicros = clock.nowMicros();
        Attempt attempt = new Attempt(openRequest, openRequest.attempts.size(), nowMicros);
        openRequest.attempts.add(attempt);
        openRequest.attemptsInFlight++;
        InboundRequest request = openRequest.request;
        BodyStream remainder = request.streamedBody();
        boolean arriving = remainder != null && !remainder.isComplete();
        long timeLeftMicros = (arriving ? request.timeLeftMicros() : openRequest.deadlineMicros - nowMicros)
                - RequestDispatcher.LAST_RESORT_MARGIN_MICROS
                - POLICY_RESPONSE_MARGIN_MICROS;
        long limitMicros = timeoutMicros == 0 ? timeLeftMicros : Math.min(timeoutMicros, timeLeftMicros);
        if (!maySend(attempt, limitMicros)) {
            end(attempt, AttemptOutcome.NOT_SENT, null, null);
            return;
        }
        if (arriving) {
            remainder.whenComplete(() -> scheduleTimeout(attempt, limitMicros));
        } else {
            scheduleTimeout(attempt, limitMicros);
        }
        attempt.call = connections.send(
                endpointId, request, limitMicros, (outcome, response, load) -> end(attempt, outcome, response, load));
    }

    private static boolean maySend(Attempt attempt, long limitMicros) {
        OpenRequest openRequest = attempt.openRequest;
        BodyStream remainder = openRequest.request.streamedBody();
        return !openRequest.closed
                && limitMicros > 0
                && attempt.number < openRequest.maxAttempts
                && (remainder == null || !remainder.isConsumed()) // what has been forwarded can't be sent again
                && openRequest.responder.tryStartAttempt(attempt.number);
    }

    private void scheduleTimeout(Attempt attempt, long limitMicros) {
        if (!attempt.ended) {
            attempt.timeout =
                    loop.schedule(() -> abandon(attempt, AttemptOutcome.TIMEOUT), limitMicros, TimeUnit.MICROSECONDS);
        }
    }

    /** Stops waiting for that attempt of the request; without effect where there is none, or it has ended. */
    void cancel(OpenRequest openRequest, int attemptNumber) {
        if (attemptNumber < openRequest.attempts.size()) {
            abandon(openRequest.attempts.get(attemptNumber), AttemptOutcome.CANCELLED);
        }
    }

    /** Cancels all attempts that still wait for a connection, as nobody waits for their responses. */
    void cancelUnsent(OpenRequest openRequest) {
        for (Attempt attempt : openRequest.attempts) {
            if (!attempt.ended && attempt.call != null && attempt.call.isWaitingForConnection()) {
                abandon(attempt, AttemptOutcome.CANCELLED);
            }
        }
    }

    // Before the request's last byte is written nothing can have run.
    private void abandon(Attempt attempt, AttemptOutcome outcomeIfWritten) {
        if (!attempt.ended) {
            boolean written = attempt.call != null && attempt.call.abandon();
            end(attempt, written ? outcomeIfWritten : AttemptOutcome.NOT_SENT, null, null);
        }
    }

    private void end(Attempt attempt, AttemptOutcome outcome, UpstreamResponse response, LoadReport load) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        if (attempt.timeout != null) {
            attempt.timeout.cancel(false);
        }
        OpenRequest openRequest = attempt.openRequest;
        openRequest.attemptsInFlight--;
        long startMicros = Math.max(attempt.sentAtMicros, openRequest.completeAtMicros);
        long latencyMicros = Math.max(0, clock.nowMicros() - startMicros);
        if (outcome == AttemptOutcome.OK && !openRequest.closed) {
            openRequests.close(openRequest);
            openRequest.responder.respond(response);
        }
        events.submit(nowMicros -> policy.outcome(
                nowMicros, openRequest.id, attempt.number, outcome, latencyMicros, openRequest.closed, load, actions));
        openRequests.removeIfDone(openRequest);
    }
}
