package loadbalancer.http;

import loadbalancer.transport.BodyStream;
import loadbalancer.transport.ConnectionMemory;
import loadbalancer.transport.MemoryBudget;

/**
 * The request of one client connection that is being served, and what is held for it until its response begins. Used on
 * the event loop's thread only.
 */
final class ServedRequest {
    private final MemoryBudget bodyMemory;
    private final ConnectionMemory headMemory;
    private BodyStream streamedBody; // null if the body is buffered, or no request is being served
    private int bodyBytes; // heap that a buffered body takes
    private int headBytes; // heap that the head takes
    private Runnable disconnectListener; // set while a response is pending

    ServedRequest(MemoryBudget bodyMemory, ConnectionMemory headMemory) {
        this.bodyMemory = bodyMemory;
        this.headMemory = headMemory;
    }

    /** Begins to serve a request, for which memory has been reserved. */
    void begin(PipelinedRequests.Entry request) {
        streamedBody = request.streamedBody();
        bodyBytes = request.body().length;
        headBytes = request.headBytes();
    }

    /** Returns whether {@code stream} is the body of the request. */
    boolean hasBody(BodyStream stream) {
        return stream != null && stream == streamedBody;
    }

    /** Sets a listener that runs if the client disconnects before its pending response. */
    void setDisconnectListener(Runnable listener) {
        disconnectListener = listener;
    }

    /** Ends the request as its response begins: releases its memory, and discards the rest of its body. */
    void end() {
        disconnectListener = null;
        releaseMemory();
        if (streamedBody != null) {
            streamedBody.discard();
            streamedBody = null;
        }
    }

    /** Ends the request without a response from its upstream, as the client has disconnected or its body is invalid. */
    void abandon() {
        releaseMemory();
        if (streamedBody != null && !streamedBody.isConsumed()) {
            streamedBody.discard();
        }
        Runnable listener = disconnectListener;
        disconnectListener = null;
        if (listener != null) {
            listener.run();
        }
    }

    private void releaseMemory() {
        bodyMemory.release(bodyBytes);
        bodyBytes = 0;
        headMemory.release(headBytes);
        headBytes = 0;
    }
}
