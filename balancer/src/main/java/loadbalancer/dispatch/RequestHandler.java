package loadbalancer.dispatch;

/** Where clients' requests are handed over, for one final answer each. */
public interface RequestHandler {
    /** Whether a request by that name of its client's is open, or an attempt of it. */
    boolean holds(String id);

    /** Takes a request; returns what to run if the client leaves before its answer. */
    Runnable take(InboundRequest order, RequestDispatcher.Reply reply);
}
