package loadbalancer.dispatch;

import loadbalancer.transport.InboundRequest;

/** Takes clients' requests and gives each one final response. Called on the event loop's thread alone. */
public interface RequestHandler {
    /** Returns whether a request with that id of its client's, or an attempt of it, is open. */
    boolean isOpen(String requestId);

    /**
     * Takes a request.
     *
     * @param responder gets the one final response, possibly before this method returns
     * @return to be run if the client leaves before its response
     */
    Runnable handle(InboundRequest request, ClientResponder responder);
}
