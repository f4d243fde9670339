package loadbalancer.dispatch;

import loadbalancer.transport.InboundRequest;

/** Handles clients' requests; each gets exactly one final response. Called on the event loop's thread only. */
public interface RequestHandler {
    /**
     * Returns whether a request with this client-chosen id is open, an attempt of one is in flight, or one may have run
     * whose client has left, so that another request with this id can't be handled.
     */
    boolean isOpen(String requestId);

    /**
     * Handles a request.
     *
     * @param responder receives the final response, possibly before this method returns
     * @return a callback for the caller to run if the client disconnects before its response
     */
    Runnable handle(InboundRequest request, ClientResponder responder);
}
