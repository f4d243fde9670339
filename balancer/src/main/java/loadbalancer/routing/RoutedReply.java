package loadbalancer.routing;

import loadbalancer.dispatch.ClientResponder;
import loadbalancer.router.LeaseEnd;
import loadbalancer.router.RouteLease;
import loadbalancer.transport.UpstreamResponse;

/**
 * The reply of a routed request: passes the final answer on to the client, and releases the request's route lease and
 * its reserved memory exactly once, when the request ends. Event loop only.
 */
final class RoutedReply implements ClientResponder {
    /** Who is notified of what happens to a routed request. */
    interface Listener {
        /** Whether the router's retry budget allows a further attempt; counts it where so. */
        boolean allowsRetry(RouteLease lease);

        /** The request has ended; called once. */
        void ended(RouteLease lease, LeaseEnd end);
    }

    private final ClientResponder client;
    private final RouteLease lease;
    private final PoolMemoryBudget memory;
    private final long reservedBytes;
    private final Listener listener;
    private boolean sent;
    private boolean ended;

    /**
     * Wraps a client's reply.
     *
     * @param reservedBytes what the request has reserved of {@code memory}
     */
    RoutedReply(
            ClientResponder client, RouteLease lease, PoolMemoryBudget memory, long reservedBytes, Listener listener) {
        this.client = client;
        this.lease = lease;
        this.memory = memory;
        this.reservedBytes = reservedBytes;
        this.listener = listener;
    }

    /** The client has left before its answer. */
    void clientGone() {
        end(LeaseEnd.CLIENT_GONE);
    }

    private void end(LeaseEnd end) {
        if (!ended) {
            ended = true;
            memory.release(reservedBytes);
            listener.ended(lease, end);
        }
    }

    @Override
    public boolean tryStartAttempt(int attemptNumber) {
        sent = true;
        return attemptNumber == 0 || listener.allowsRetry(lease);
    }

    @Override
    public void respond(UpstreamResponse response) {
        end(LeaseEnd.SERVED);
        client.respond(response);
    }

    @Override
    public void reject(long retryAfterMicros) {
        end(sent ? LeaseEnd.FAILED : LeaseEnd.NOT_SENT);
        client.reject(retryAfterMicros);
    }

    @Override
    public void fail() {
        end(LeaseEnd.FAILED);
        client.fail();
    }
}
