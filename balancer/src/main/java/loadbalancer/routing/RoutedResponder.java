package loadbalancer.routing;

import loadbalancer.dispatch.ClientResponder;
import loadbalancer.router.LeaseEnd;
import loadbalancer.router.RouteLease;
import loadbalancer.transport.UpstreamResponse;

/**
 * Responds to a routed request: passes the final response on to the client, and releases the request's route lease and
 * its reserved memory exactly once, when the request ends. Belongs to the event loop's thread.
 */
final class RoutedResponder implements ClientResponder {
    /** Receives the events of routed requests. */
    interface Listener {
        /** Returns whether the router's retry budget allows another attempt, and counts the attempt if so. */
        boolean allowsRetry(RouteLease lease);

        /** Called once, when the request has ended. */
        void ended(RouteLease lease, LeaseEnd end);
    }

    private final ClientResponder client;
    private final RouteLease lease;
    private final PoolMemoryBudget memoryBudget;
    private final long reservedBytes;
    private final Listener listener;
    private boolean attemptStarted;
    private boolean ended;

    /**
     * Wraps a client's responder.
     *
     * @param reservedBytes the bytes that the request has reserved in {@code memoryBudget}
     */
    RoutedResponder(
            ClientResponder client,
            RouteLease lease,
            PoolMemoryBudget memoryBudget,
            long reservedBytes,
            Listener listener) {
        this.client = client;
        this.lease = lease;
        this.memoryBudget = memoryBudget;
        this.reservedBytes = reservedBytes;
        this.listener = listener;
    }

    /** Ends the request because the client has disconnected before its response. */
    void clientGone() {
        end(LeaseEnd.CLIENT_GONE);
    }

    private void end(LeaseEnd end) {
        if (!ended) {
            ended = true;
            memoryBudget.release(reservedBytes);
            listener.ended(lease, end);
        }
    }

    @Override
    public boolean tryStartAttempt(int attemptNumber) {
        attemptStarted = true;
        return attemptNumber == 0 || listener.allowsRetry(lease);
    }

    @Override
    public void respond(UpstreamResponse response) {
        end(LeaseEnd.SERVED);
        client.respond(response);
    }

    @Override
    public void reject(long retryAfterMicros) {
        end(attemptStarted ? LeaseEnd.FAILED : LeaseEnd.NOT_SENT);
        client.reject(retryAfterMicros);
    }

    @Override
    public void fail() {
        end(LeaseEnd.FAILED);
        client.fail();
    }
}
