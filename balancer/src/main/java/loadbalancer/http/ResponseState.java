package loadbalancer.http;

/** The progress of a client connection in serving its requests, one at a time. */
enum ResponseState {
    /** No request is being served. */
    IDLE,
    /** A task on the event loop will serve the next request, or write the rejection. */
    SCHEDULED,
    /** A request is being served. */
    SERVING,
    /** The last response has been written; no further request is served. */
    ENDING
}
