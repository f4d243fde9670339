package loadbalancer.routing;

import loadbalancer.dispatch.RequestDispatcher;
import loadbalancer.router.RequestRouter;
import loadbalancer.upstream.ResponseReader;

/**
 * The reply of a routed request: passes the final answer on to the client, and releases the request's route lease and
 * its reserved memory exactly once, when the request ends. Event loop only.
 */
final class RoutedReply implements RequestDispatcher.Reply {
    /** Who is notified of what happens to a routed request. */
    interface Listener {
        /** Whether the router's retry budget allows a further attempt; counts it where so. */
        boolean allowsRetry(RequestRouter.RouteLease lease);

        /** The request has ended; called once. */
        void ended(RequestRouter.RouteLease lease, RequestRouter.End end);
    }

    private final RequestDispatcher.Reply client;
    private final RequestRouter.RouteLease lease;
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
            RequestDispatcher.Reply client,
            RequestRouter.RouteLease lease,
            PoolMemoryBudget memory,
            long reservedBytes,
            Listener listener) {
        this.client = client;
        this.lease = lease;
        this.memory = memory;
        this.reservedBytes = reservedBytes;
        this.listener = listener;
    }

    /** The client has left before its answer. */
    void clientGone() {
        end(RequestRouter.End.GONE);
    }

    private void end(RequestRouter.End end) {
        if (!ended) {
            ended = true;
            memory.release(reservedBytes);
            listener.ended(lease, end);
        }
    }

    @Override
    public boolean maySend(int attempt) {
        sent = true;
        return attempt == 0 || listener.allowsRetry(lease);
    }

    @Override
    public void serve(ResponseReader.Answer answer) {
        end(RequestRouter.End.SERVED);
        client.serve(answer);
    }

    @Override
    public void refuse(long retryAfterMicros) {
        end(sent ? RequestRouter.End.FAILED : RequestRouter.End.UNSENT);
        client.refuse(retryAfterMicros);
    }

    @Override
    public void fail() {
        end(RequestRouter.End.FAILED);
        client.fail();
    }
}
